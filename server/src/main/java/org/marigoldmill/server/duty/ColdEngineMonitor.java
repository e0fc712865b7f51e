package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import java.util.Set;
import org.marigoldmill.core.limit.WarmupTable;
import org.marigoldmill.server.Clock;

/** Logs which engines become cold and warm. */
public final class ColdEngineMonitor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WarmupTable warmups;
  private final Clock clock;
  private Set<String> logged = Set.of();

  /** Creates a monitor. */
  public ColdEngineMonitor(WarmupTable warmups, Clock clock) {
    this.warmups = warmups;
    this.clock = clock;
  }

  /** Logs the engines whose state has changed; meant to be called periodically. */
  public void logChanges() {
    long now = clock.now();
    Set<String> cold = warmups.coldEngines(now);
    cold.stream()
        .filter(e -> !logged.contains(e))
        .forEach(
            e ->
                logger.atInfo().log(
                    "engine cold id=%s requests_per_s=%s left_ms=%d",
                    e, warmups.requestsPerSecond(e, now).orElse(0), warmups.heardLeftMs(e, now)));
    logged.stream()
        .filter(e -> !cold.contains(e))
        .forEach(e -> logger.atInfo().log("engine warm or gone id=%s", e));
    logged = cold;
  }

  /** Returns the number of cold engines. */
  public int count() {
    return warmups.coldEngines(clock.now()).size();
  }
}
