package org.marigoldmill.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the time that each engine takes for a token, measured on its response streams.
 *
 * <p>Engines are compared by the time for a token, not for a sample, so that work moves away from
 * slow engines without a bias towards short samples. The measurements of an engine that has not
 * been used for a while expire, so that it is tried again.
 */
public final class EngineSpeeds {
  private static final double SMOOTHING_FACTOR = 0.3;
  private static final double SLOW_FACTOR = 3;
  private static final int MIN_ENGINES_TO_COMPARE = 3;
  private static final long EXPIRY_MS = 15_000;

  private record Speed(double msPerToken, long measuredAtMs) {}

  private final Map<String, Speed> speeds = new HashMap<>();

  /**
   * Records a measurement on a section of a stream.
   *
   * @param engine name of the engine
   * @param tokens number of tokens in the section, at least 1
   * @param ms duration of the section, in milliseconds
   * @param nowMs current time, in milliseconds
   */
  public synchronized void observe(String engine, int tokens, long ms, long nowMs) {
    double latest = (double) ms / tokens;
    Speed previous = speeds.get(engine);
    double mean =
        previous == null
            ? latest
            : previous.msPerToken() + SMOOTHING_FACTOR * (latest - previous.msPerToken());
    speeds.put(engine, new Speed(mean, nowMs));
  }

  /** Returns whether an engine's time for a token is several times that of the median engine. */
  public synchronized boolean slow(String engine, long nowMs) {
    speeds.values().removeIf(s -> nowMs - s.measuredAtMs() > EXPIRY_MS);
    Speed speed = speeds.get(engine);
    if (speed == null || speeds.size() < MIN_ENGINES_TO_COMPARE) {
      return false;
    }
    List<Double> sorted = speeds.values().stream().map(Speed::msPerToken).sorted().toList();
    return speed.msPerToken() > SLOW_FACTOR * sorted.get((sorted.size() - 1) / 2);
  }
}
