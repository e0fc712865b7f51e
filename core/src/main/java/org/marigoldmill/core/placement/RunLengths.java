package org.marigoldmill.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how many events runs have still to generate, from the tokens that are expected of them
 * and from the tokens an event had in the runs that have ended.
 *
 * <p>An event may hold any number of tokens, and nothing but finished runs tells how many. Times
 * and sizes of a model's latest runs count most.
 *
 * <p>The longest runs of a step are mostly those whose estimate was too short. So a run that nears
 * or outlasts its estimate is expected to go on for part of its length so far, as others did that
 * outlasted theirs. The state is four sums a model.
 */
public final class RunLengths {
  /** Part of the sums that is kept when another run ends. */
  private static final double KEPT_PART = 0.98;

  private static final class Sums {
    private double tokens;
    private double events;
    private double outlastedEstimates;
    private double excessEvents;

    private double estimate(long expectedTokens) {
      return expectedTokens * events / tokens;
    }

    /** Returns by what share of their estimate runs that outlasted it were longer, on average. */
    private double excessShare() {
      return outlastedEstimates == 0 ? 0 : excessEvents / outlastedEstimates;
    }

    private void recordEnded(long expectedTokens, long endedEvents) {
      double estimate = tokens == 0 ? endedEvents : estimate(expectedTokens);
      if (endedEvents > estimate) {
        outlastedEstimates = KEPT_PART * outlastedEstimates + estimate;
        excessEvents = KEPT_PART * excessEvents + endedEvents - estimate;
      }
      tokens = KEPT_PART * tokens + expectedTokens;
      events = KEPT_PART * events + endedEvents;
    }
  }

  private final Map<String, Sums> sumsByModel = new HashMap<>();

  /** Creates an estimator that has seen no run. */
  public RunLengths() {}

  /**
   * Records a run that has ended by itself.
   *
   * @param expectedTokens tokens that had been expected of it
   * @param events events that it had
   */
  public synchronized void recordEnded(String model, long expectedTokens, long events) {
    if (expectedTokens <= 0 || events <= 0) {
      return;
    }
    sumsByModel.computeIfAbsent(model, m -> new Sums()).recordEnded(expectedTokens, events);
  }

  /**
   * Returns the number of events that a run has still to generate, at least 1; before a run of the
   * model has ended, each token counts as an event.
   *
   * @param expectedTokens tokens that are expected of the whole run
   * @param events events that it has generated
   */
  public synchronized long remainingEvents(String model, long expectedTokens, long events) {
    Sums sums = sumsByModel.get(model);
    double total =
        sums == null
            ? expectedTokens
            : Math.max(sums.estimate(expectedTokens), events * (1 + sums.excessShare()));
    return Math.max(1, Math.round(total) - events);
  }
}
