package org.marigoldmill.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Engines that have said in an answer that they leave.
 *
 * <p>Answers the load of an instance that the store does not reach: what an engine says of itself
 * is then the only news of it. The belief ends with the incarnation that said so, never because an
 * entry in the store still calls the engine ready. Only listed engines are held, so the size is
 * bounded by their number.
 */
public final class LeavingEngines {
  private final Map<String, Long> incarnations = new HashMap<>();

  /** Creates an empty table. */
  public LeavingEngines() {}

  /** Records that an incarnation leaves; returns whether that is news. */
  public synchronized boolean record(String engine, long incarnation) {
    Long known = incarnations.get(engine);
    if (known != null && known >= incarnation) {
      return false;
    }
    incarnations.put(engine, incarnation);
    return true;
  }

  /** Returns an engine as draining if its incarnation has said that it leaves. */
  public synchronized Engine apply(Engine engine) {
    Long leaving = incarnations.get(engine.id());
    return leaving != null && leaving == engine.incarnation() ? engine.asDraining() : engine;
  }

  /** Forgets an engine that is gone. */
  public synchronized void remove(String engine) {
    incarnations.remove(engine);
  }
}
