package org.marigoldmill.core.continuation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions of streams, for as long as a caller may resume them.
 *
 * <p>Answers the load of a service that changes its software under many streams: a stream is kept
 * until it cannot be resumed any more, however many there are, since one that was dropped would be
 * taken for a stream of the default version.
 *
 * <p>Times are readings of a monotonic clock in milliseconds. Not thread-safe.
 */
public final class StreamTable {
  /** Time after which nobody resumes a stream any more, in milliseconds. */
  public static final long KEPT_MS = ServiceVersions.MAX_STREAM_MS + ServiceVersions.AGREEMENT_MS;

  private record Known(String version, long sinceMs) {}

  private final Map<String, Known> streams = new LinkedHashMap<>();

  /** Creates an empty table. */
  public StreamTable() {}

  /** Records a stream, which never changes its version. */
  public void put(String stream, String version, long nowMs) {
    streams.putIfAbsent(stream, new Known(version, nowMs));
  }

  /** Returns the version of a stream. */
  public Optional<String> version(String stream) {
    return Optional.ofNullable(streams.get(stream)).map(Known::version);
  }

  /**
   * Removes the streams that have been known for so long that nobody resumes them; returns them.
   */
  public List<String> removeExpired(long nowMs) {
    List<String> expired = new ArrayList<>();
    for (Map.Entry<String, Known> stream : streams.entrySet()) {
      // Streams are in the order in which they became known.
      if (nowMs - stream.getValue().sinceMs() <= KEPT_MS) {
        break;
      }
      expired.add(stream.getKey());
    }
    expired.forEach(streams::remove);
    return expired;
  }
}
