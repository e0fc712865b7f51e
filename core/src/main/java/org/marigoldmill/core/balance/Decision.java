package org.marigoldmill.core.balance;

import java.util.List;
import java.util.Optional;
import org.marigoldmill.schema.platform.PlatformInstance;

/**
 * The choice of an engine for a request, with its reasons.
 *
 * @param chosen the engine, or empty if none may be sent the request
 * @param leftZone whether the engine is in another zone though the own one has engines
 * @param considered engines that were compared
 */
public record Decision(Optional<Candidate> chosen, boolean leftZone, List<Candidate> considered) {

  /**
   * An engine that was compared.
   *
   * @param estimate its estimated load
   * @param costMs expected time until the answer, with all that speaks against the engine, in
   *     milliseconds
   * @param full whether it was passed over because a fresh report says that it has a queue
   */
  public record Candidate(
      PlatformInstance engine, LoadEstimate estimate, double costMs, boolean full) {}

  /** Returns whether a fresh report of each engine compared says that it has a queue. */
  public boolean allFull() {
    return !considered.isEmpty() && considered.stream().allMatch(Candidate::full);
  }
}
