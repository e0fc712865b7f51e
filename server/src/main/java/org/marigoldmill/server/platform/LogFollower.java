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

/** Reads and reduces the log; restores from a snapshot record if unread records were trimmed. */
public final class LogFollower {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_MS = 1_000;

  private final PlatformClient platform;
  private final SharedState state;
  private final Clock clock;
  private volatile long lastCaughtUpAtMs = Long.MIN_VALUE;
  private long searchOffset;

  /** Creates a follower that advances the shared state. */
  public LogFollower(PlatformClient platform, SharedState state, Clock clock) {
    this.platform = platform;
    this.state = state;
    this.clock = clock;
  }

  /** Reads and applies new records, waiting up to 1 s for them. */
  public void readOnce() {
    long requestedAt = clock.now();
    long from = Math.max(state.snapshot().getNextOffset(), searchOffset);
    ReadReply reply = platform.read(from, POLL_MS);
    reply.getRecordsList().forEach(this::applyRecord);
    boolean atEnd = state.snapshot().getNextOffset() >= reply.getNextOffset();
    if (atEnd) {
      lastCaughtUpAtMs = requestedAt;
    } else if (reply.getFirstOffset() > state.snapshot().getNextOffset()) {
      searchOffset = nextSearchOffset(reply);
    }
  }

  /** Returns the clock time in milliseconds of the last request that reached the end of the log. */
  public long lastCaughtUpAtMs() {
    return lastCaughtUpAtMs;
  }

  private void applyRecord(StoredRecord stored) {
    Optional<LogRecord> logRecord = decode(stored);
    Snapshot current = state.snapshot();
    if (stored.getOffset() > current.getNextOffset()) {
      logRecord.filter(LogRecord::hasSnapshot).ifPresent(r -> restore(r.getSnapshot()));
      return;
    }
    LogRecord body = logRecord.orElse(LogRecord.getDefaultInstance());
    state.advance(LogReducer.apply(current, stored.getOffset(), body));
  }

  private void restore(Snapshot snapshot) {
    logger.atInfo().log("starts from a snapshot at offset %d", snapshot.getNextOffset());
    state.advance(snapshot);
    searchOffset = 0;
  }

  private long nextSearchOffset(ReadReply reply) {
    long nextUnread =
        reply.getRecordsList().stream().mapToLong(StoredRecord::getOffset).max().orElse(0) + 1;
    boolean exhausted = nextUnread >= reply.getNextOffset();
    return exhausted ? Math.max(reply.getFirstOffset(), nextUnread) : nextUnread;
  }

  private static Optional<LogRecord> decode(StoredRecord stored) {
    try {
      return Optional.of(LogRecord.parseFrom(stored.getBody()));
    } catch (InvalidProtocolBufferException e) {
      logger.atWarning().log(
          "log record at offset %d is not a valid protobuf message, skipped", stored.getOffset());
      return Optional.empty();
    }
  }
}
