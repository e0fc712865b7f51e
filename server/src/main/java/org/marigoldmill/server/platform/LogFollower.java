package org.marigoldmill.server.platform;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.marigoldmill.core.config.LogReducer;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.platform.ReadReply;
import org.marigoldmill.schema.platform.StoredRecord;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.state.SharedState;

/** Reads the log and reduces it; after a trimmed gap it starts again from a snapshot record. */
public final class LogFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_MS = 1_000;

  private final PlatformClient platform;
  private final SharedState state;
  private final Clock clock;
  private volatile long contactAt = Long.MIN_VALUE;
  private long searchFrom;

  /** Creates a follower that advances a state. */
  public LogFollower(PlatformClient platform, SharedState state, Clock clock) {
    this.platform = platform;
    this.state = state;
    this.clock = clock;
  }

  /** Reads and applies what is new, waiting a while for it. */
  public void readOnce() {
    long askedAt = clock.now();
    long from = Math.max(state.snapshot().getNextOffset(), searchFrom);
    ReadReply reply = platform.read(from, POLL_MS);
    reply.getRecordsList().forEach(this::take);
    boolean atEnd = state.snapshot().getNextOffset() >= reply.getNextOffset();
    if (atEnd) {
      contactAt = askedAt;
    } else if (reply.getFirstOffset() > state.snapshot().getNextOffset()) {
      searchFrom = nextSearch(reply);
    }
  }

  /** Returns the time at which the log was last known to hold nothing unread. */
  public long contactAt() {
    return contactAt;
  }

  private void take(StoredRecord stored) {
    Optional<LogRecord> logRecord = decode(stored);
    Snapshot now = state.snapshot();
    if (stored.getOffset() > now.getNextOffset()) {
      logRecord.filter(LogRecord::hasSnapshot).ifPresent(r -> adopt(r.getSnapshot()));
      return;
    }
    LogRecord body = logRecord.orElse(LogRecord.getDefaultInstance());
    state.advance(LogReducer.apply(now, stored.getOffset(), body));
  }

  private void adopt(Snapshot snapshot) {
    logger.atInfo().log("starts from a snapshot at offset %d", snapshot.getNextOffset());
    state.advance(snapshot);
    searchFrom = 0;
  }

  private long nextSearch(ReadReply reply) {
    long read =
        reply.getRecordsList().stream().mapToLong(StoredRecord::getOffset).max().orElse(0) + 1;
    boolean exhausted = read >= reply.getNextOffset();
    return exhausted ? Math.max(reply.getFirstOffset(), read) : read;
  }

  private static Optional<LogRecord> decode(StoredRecord stored) {
    try {
      return Optional.of(LogRecord.parseFrom(stored.getBody()));
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().log("passes over a bad record at offset %d", stored.getOffset());
      return Optional.empty();
    }
  }
}
