package org.marigoldmill.server.deployment;

import java.util.Map;
import org.marigoldmill.core.supply.EngineDemandPlanner.Answer;
import org.marigoldmill.core.supply.EngineOrder;

/** Port to the platform's API for duties, which only the holder of the duty lease carries out. */
public interface DutyApi {

  /**
   * Reports the usage of an accounting window.
   *
   * @param holder name of the instance that holds the lease
   * @param epoch epoch of the lease, used as fencing token
   * @param window number of the window
   * @param requests number of requests by organisation
   * @return false if the platform has refused the report or not answered
   */
  boolean reportUsage(String holder, long epoch, long window, Map<String, Long> requests);

  /**
   * Orders a number of engines of a service in a zone.
   *
   * @param holder name of the instance that holds the lease
   * @param epoch epoch of the lease, used as fencing token
   * @param service name of the service
   * @param order the pool, and the absolute number of engines
   */
  Answer orderEngines(String holder, long epoch, String service, EngineOrder order);
}
