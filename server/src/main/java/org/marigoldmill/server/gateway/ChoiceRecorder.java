package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.marigoldmill.core.balance.Decision;
import org.marigoldmill.core.balance.Decision.Candidate;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.server.Metrics;

/** Records how upstreams are chosen: metrics of each choice, a log line now and then. */
public final class ChoiceRecorder implements UpstreamTable.DecisionListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 1;

  private final Metrics metrics;

  /** Creates a recorder. */
  public ChoiceRecorder(Metrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void onDecision(String pool, Decision decision) {
    if (decision.chosen().isEmpty()) {
      metrics.recordNoChoice(pool);
      return;
    }
    Candidate chosen = decision.chosen().get();
    metrics.recordChoice(
        pool,
        decision.leftZone() ? "other-zone" : "own-zone",
        chosen.estimate().waitMs(),
        chosen.estimate().ageMs());
    if (decision.leftZone() || chosen.full()) {
      logger.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "upstream chosen service=%s engine=%s zone=%s load=%.1f slots=%d wait_ms=%.1f age_ms=%d"
              + " all_full=%s considered=%d",
          pool,
          chosen.engine().getName(),
          chosen.engine().getZone(),
          chosen.estimate().load(),
          chosen.estimate().slots(),
          chosen.estimate().waitMs(),
          chosen.estimate().ageMs(),
          decision.allFull(),
          decision.considered().size());
    }
  }

  @Override
  public void onRefusal(String pool) {
    metrics.recordFullRefusal(pool);
  }
}
