package org.marigoldmill.core.limit;

import java.util.List;

/**
 * What an instance has had for engines with limits since its last report.
 *
 * @param process run of the instance's process; unique
 * @param number number of the report within the process
 * @param engines demand by engine; empty if the instance only tells that it exists
 * @param claims turns that the instance takes at cold engines
 */
public record DemandReport(
    String process, long number, List<EngineDemand> engines, List<TurnClaim> claims) {
  /** Copies the lists. */
  public DemandReport {
    engines = List.copyOf(engines);
    claims = List.copyOf(claims);
  }
}
