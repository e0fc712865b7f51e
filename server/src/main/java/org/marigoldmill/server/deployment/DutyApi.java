package org.marigoldmill.server.deployment;

import java.util.Map;

/** Port to the platform's interface for duties that one process at a time carries out. */
public interface DutyApi {

  /**
   * Reports the usage of a window.
   *
   * @param holder name of this process
   * @param epoch fencing number of the lease
   * @param window number of the window
   * @param requests requests of each organisation
   * @return whether the platform has accepted the report
   */
  boolean reportUsage(String holder, long epoch, long window, Map<String, Long> requests);
}
