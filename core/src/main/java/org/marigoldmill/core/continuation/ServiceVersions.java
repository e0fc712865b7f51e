package org.marigoldmill.core.continuation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tells with which software version a stream of a service was begun.
 *
 * <p>Answers the load of streams that callers resume at any instance, in a service whose engines
 * may run several versions side by side. One version of a service is its default: streams begun
 * with it leave no record, and a stream without a record was begun with it. Streams begun with
 * another version are recorded. So a service of one version costs nothing, and one that changes
 * costs a record for each stream of the newer version. The default changes only once its last
 * engine has been gone for longer than any stream lasts; until that time after a change, records go
 * on being made, so that instances that see the change a little sooner or later agree.
 *
 * <p>Times are readings of a monotonic clock in milliseconds.
 */
public final class ServiceVersions {
  /** Longest time from the start of a stream until its caller resumes it, in milliseconds. */
  public static final long MAX_STREAM_MS = 60_000;

  /** Time by which instances may see the same change sooner or later, in milliseconds. */
  static final long AGREEMENT_MS = 15_000;

  private static final class Service {
    private Optional<String> defaultVersion = Optional.empty();
    private long defaultSinceMs;
    private Set<String> listed = Set.of();
    private final Map<String, Long> lastListedMs = new HashMap<>();
  }

  private final Map<String, Service> services = new HashMap<>();
  private final long startedAtMs;

  /** Creates an empty table. */
  public ServiceVersions(long nowMs) {
    this.startedAtMs = nowMs;
  }

  /** Records which versions the engines of a service have now. */
  public synchronized void recordListed(String service, Set<String> versions, long nowMs) {
    Service state = service(service);
    state.listed = Set.copyOf(versions);
    versions.forEach(v -> state.lastListedMs.put(v, nowMs));
    state.lastListedMs.values().removeIf(at -> nowMs - at > MAX_STREAM_MS + AGREEMENT_MS);
  }

  /** Records the default version of a service that all instances have agreed on. */
  public synchronized void recordDefault(String service, String version, long nowMs) {
    Service state = service(service);
    if (!state.defaultVersion.equals(Optional.of(version))) {
      state.defaultVersion = Optional.of(version);
      state.defaultSinceMs = nowMs;
    }
  }

  /**
   * Returns the version that should become the default of a service, if another than now.
   *
   * @param mostUsed version of most of its engines
   */
  public synchronized Optional<String> nextDefault(String service, String mostUsed, long nowMs) {
    Service state = service(service);
    if (state.defaultVersion.isEmpty()) {
      return Optional.of(mostUsed);
    }
    String current = state.defaultVersion.get();
    Long lastListedMs = state.lastListedMs.get(current);
    long goneSinceMs = lastListedMs == null ? startedAtMs : lastListedMs;
    boolean gone = nowMs - goneSinceMs > MAX_STREAM_MS;
    return gone && !current.equals(mostUsed) ? Optional.of(mostUsed) : Optional.empty();
  }

  /** Returns whether a stream that begins with a version must be recorded. */
  public synchronized boolean mustRecord(String service, String version, long nowMs) {
    Service state = service(service);
    boolean settled = nowMs - state.defaultSinceMs > AGREEMENT_MS;
    return !(state.defaultVersion.equals(Optional.of(version)) && settled);
  }

  /**
   * Returns whether a stream may begin with a version although its record cannot be stored.
   *
   * <p>Without an engine of the default version, a missing record cannot make another version
   * continue the stream; it then cannot be resumed. As long as there is no default version, a
   * stream without a record is continued by none.
   */
  public synchronized boolean mayBeginUnrecorded(String service, String version) {
    Service state = service(service);
    boolean defaultGone =
        !state.listed.isEmpty()
            && state.defaultVersion.filter(d -> !state.listed.contains(d)).isPresent();
    return defaultGone
        || state.defaultVersion.equals(Optional.of(version))
        || isOnlyVersion(state, version);
  }

  /**
   * Returns the version of a stream without a record, or empty if that cannot be said.
   *
   * <p>The versions that are listed do not tell it: the engines that began the stream may have left
   * before this process started.
   */
  public synchronized Optional<String> versionWithoutRecord(String service) {
    return service(service).defaultVersion;
  }

  /** Returns whether no other version has been listed as long as this process remembers. */
  private static boolean isOnlyVersion(Service state, String version) {
    return state.defaultVersion.isEmpty() && state.lastListedMs.keySet().equals(Set.of(version));
  }

  private Service service(String name) {
    return services.computeIfAbsent(name, n -> new Service());
  }
}
