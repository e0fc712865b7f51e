package org.marigoldmill.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Time that each engine takes for a token, as seen on its streams.
 *
 * <p>Judging engines by the time of a token, not by the time of a sample, moves work away from slow
 * engines without preferring short samples. An engine that was not used for a while is tried again.
 */
public final class EngineSpeeds {
  private static final double NEW_SHARE = 0.3;
  private static final double SLOW_FACTOR = 3;
  private static final int ENGINES_TO_COMPARE = 3;
  private static final long FORGOTTEN_MS = 15_000;

  private record Speed(double msPerToken, long at) {}

  private final Map<String, Speed> speeds = new HashMap<>();

  /**
   * Takes in a stretch of a stream.
   *
   * @param engine name of the engine
   * @param tokens tokens of the stretch, at least 1
   * @param ms duration of the stretch, in milliseconds
   * @param now present time in milliseconds
   */
  public synchronized void observe(String engine, int tokens, long ms, long now) {
    double latest = (double) ms / tokens;
    Speed known = speeds.get(engine);
    double mean =
        known == null ? latest : known.msPerToken() + NEW_SHARE * (latest - known.msPerToken());
    speeds.put(engine, new Speed(mean, now));
  }

  /** Returns whether an engine takes several times as long for a token as the median engine. */
  public synchronized boolean slow(String engine, long now) {
    speeds.values().removeIf(s -> now - s.at() > FORGOTTEN_MS);
    Speed own = speeds.get(engine);
    if (own == null || speeds.size() < ENGINES_TO_COMPARE) {
      return false;
    }
    List<Double> sorted = speeds.values().stream().map(Speed::msPerToken).sorted().toList();
    return own.msPerToken() > SLOW_FACTOR * sorted.get((sorted.size() - 1) / 2);
  }
}
