package org.marigoldmill.core.route;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and on what terms.
 *
 * @param name name in the configuration
 * @param host host that requests name
 * @param pathPrefix start of their paths, with a slash at both ends
 * @param kind what may be repeated
 * @param publicAccess whether requests need no key
 * @param priority rank, 0 is the most urgent
 * @param timeoutMs longest time that a request may be kept waiting
 * @param sloMs time within which an answer is useful
 * @param maxAttempts most upstreams that one request may be sent to
 * @param targets services with their weights
 * @param streaming whether the answer is a series of events
 * @param resumable whether a broken stream may go on at another upstream
 * @param singleVersion whether all events of a sample must come from one version of the weights
 * @param dueMs time within which the results of a submission are due
 * @param giveUpMs time after which an item of a submission may be given up
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Kind kind,
    boolean publicAccess,
    int priority,
    long timeoutMs,
    long sloMs,
    int maxAttempts,
    List<Target> targets,
    boolean streaming,
    boolean resumable,
    boolean singleVersion,
    long dueMs,
    long giveUpMs) {

  /** What a route carries. */
  public enum Kind {
    /** Requests that may run more than once. */
    IDEMPOTENT,
    /** Requests that may run at most once. */
    MUTATING,
    /** Submissions of rollout items. */
    ROLLOUT
  }

  /** A service with the share of requests that it takes. */
  public record Target(String service, int weight) {}

  /**
   * Chooses the service of a request; requests of the same id go to the same service.
   *
   * @param requestId id of the request
   * @return name of a service
   */
  public String chooseService(String requestId) {
    int total = targets.stream().mapToInt(Target::weight).sum();
    if (targets.size() == 1 || total <= 0) {
      return targets.get(0).service();
    }
    int point = Math.floorMod(requestId.hashCode() * 0x9E3779B1, total);
    for (Target target : targets) {
      point -= target.weight();
      if (point < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }

  /** Returns whether a request of this route may run more than once. */
  public boolean retryable() {
    return kind == Kind.IDEMPOTENT || (streaming && resumable);
  }
}
