package org.marigoldmill.server.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.marigoldmill.core.membership.MemberTable;
import org.marigoldmill.schema.peer.ExchangeMessage;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.state.Instances;

/**
 * Tracks how old this process's knowledge of key withdrawals may be.
 *
 * <p>The entry instance that accepts a withdrawal broadcasts it to its peers and appends it to the
 * log. Knowledge is therefore as recent as the last contact with the log or the oldest heartbeat of
 * the listed entry instances, whichever is more recent. A log outage that affects all instances
 * does not make it stale; a network partition of the zone does.
 */
public final class Knowledge {
  private static final long LOG_SILENCE_LIMIT_MS = 2_500;

  private final LongSupplier logContactAt;
  private final MemberTable members;
  private final Instances instances;
  private final Clock clock;
  private final Map<String, Long> revisionsByPeer = new ConcurrentHashMap<>();
  private volatile long peerLogContactAt = Long.MIN_VALUE;

  /** Creates the state of a process that has had no contact with the log or its peers. */
  public Knowledge(
      LongSupplier logContactAt, MemberTable members, Instances instances, Clock clock) {
    this.logContactAt = logContactAt;
    this.members = members;
    this.instances = instances;
    this.clock = clock;
  }

  /**
   * Returns the maximum age of the knowledge of key withdrawals in milliseconds, counted from the
   * later of the last contact with the log and the oldest heartbeat of a listed entry instance.
   */
  public long ageMs() {
    return Math.min(logContactAgeMs(), oldestHeartbeatAgeMs());
  }

  /**
   * Returns the time since the last known contact of this process or a peer with the log, in
   * milliseconds.
   */
  public long logContactAgeMs() {
    long contact = Math.max(logContactAt.getAsLong(), peerLogContactAt);
    return contact == Long.MIN_VALUE ? Long.MAX_VALUE / 4 : clock.now() - contact;
  }

  /** Returns whether this process has not read to the end of the log for 2.5 s. */
  public boolean isLogSilent() {
    long contact = logContactAt.getAsLong();
    return contact == Long.MIN_VALUE || clock.now() - contact > LOG_SILENCE_LIMIT_MS;
  }

  /** Records the age of the sender's knowledge of the log and its revision in force. */
  public void recordMessage(ExchangeMessage message) {
    peerLogContactAt = Math.max(peerLogContactAt, clock.now() - message.getKnowledgeAgeMs());
    revisionsByPeer.merge(message.getSender(), message.getRevision(), Math::max);
  }

  /** Returns the highest revision in force that a peer has reported, or 0 if none. */
  public long reportedRevision(String peer) {
    return revisionsByPeer.getOrDefault(peer, 0L);
  }

  private long oldestHeartbeatAgeMs() {
    if (!instances.isLoaded()) {
      return Long.MAX_VALUE / 4;
    }
    long now = clock.now();
    return instances.liveEntryInstances().stream()
        .map(PlatformInstance::getName)
        .mapToLong(name -> members.heartbeatAgeMs(name, now))
        .max()
        .orElse(Long.MAX_VALUE / 4);
  }
}
