package org.marigoldmill.core.limit;

import java.util.List;

/**
 * What an instance has had for engines with limits since its last report.
 *
 * @param process run of the instance's process; unique
 * @param number number of the report within the process
 * @param engines demand by engine; empty if the instance only tells that it exists
 */
public record DemandReport(String process, long number, List<EngineDemand> engines) {
  /** Copies the list. */
  public DemandReport {
    engines = List.copyOf(engines);
  }
}
