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
 * How old this process's knowledge of key withdrawals may be.
 *
 * <p>A withdrawal is accepted by an entry instance, which tells its peers at once and the log as
 * well. Knowledge is therefore as fresh as the last contact with the log, or as the oldest
 * heartbeat of the listed entry instances, whichever is fresher: a log that is out for everyone
 * does not make it stale, a zone that is cut off does.
 */
public final class Knowledge {
  private static final long SILENT_LOG_MS = 2_500;

  private final LongSupplier logContactAt;
  private final MemberTable members;
  private final Instances instances;
  private final Clock clock;
  private final Map<String, Long> revisions = new ConcurrentHashMap<>();
  private volatile long peerLogContactAt = Long.MIN_VALUE;

  /** Creates the knowledge of a process that has had no contact yet. */
  public Knowledge(
      LongSupplier logContactAt, MemberTable members, Instances instances, Clock clock) {
    this.logContactAt = logContactAt;
    this.members = members;
    this.instances = instances;
    this.clock = clock;
  }

  /** Returns the age in milliseconds. */
  public long ageMs() {
    return Math.min(logAgeMs(), peersAge());
  }

  /** Returns the age of the last contact with the log, own or of a peer that told of it. */
  public long logAgeMs() {
    long contact = Math.max(logContactAt.getAsLong(), peerLogContactAt);
    return contact == Long.MIN_VALUE ? Long.MAX_VALUE / 4 : clock.now() - contact;
  }

  /** Returns whether this process itself gets nothing from the log. */
  public boolean logIsSilent() {
    long contact = logContactAt.getAsLong();
    return contact == Long.MIN_VALUE || clock.now() - contact > SILENT_LOG_MS;
  }

  /** Takes in the sender's contact with the log and the revision that it has in force. */
  public void learn(ExchangeMessage message) {
    peerLogContactAt = Math.max(peerLogContactAt, clock.now() - message.getKnowledgeAgeMs());
    revisions.merge(message.getSender(), message.getRevision(), Math::max);
  }

  /** Returns the revision that a peer last said it has in force. */
  public long reportedRevision(String peer) {
    return revisions.getOrDefault(peer, 0L);
  }

  private long peersAge() {
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
