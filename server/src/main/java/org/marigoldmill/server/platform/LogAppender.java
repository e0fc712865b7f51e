package org.marigoldmill.server.platform;

import com.google.common.flogger.FluentLogger;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.util.DaemonThreadFactory;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.schema.log.LogRecord;

/**
 * Appends records on a thread of its own, fed by a bounded ring.
 *
 * <p>A record is sent once. Whoever needs it again decides so from the reduced log, because an
 * append whose answer was lost may have taken effect.
 */
public final class LogAppender implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int RING_SIZE = 256;

  private static final class Slot {
    private LogRecord logRecord;
    private CompletableFuture<Long> offset;
  }

  private final PlatformClient platform;
  private final String instance;
  private final Disruptor<Slot> disruptor;
  private final RingBuffer<Slot> ring;

  /** Starts the thread. */
  public LogAppender(PlatformClient platform, String instance) {
    this.platform = platform;
    this.instance = instance;
    this.disruptor = new Disruptor<>(Slot::new, RING_SIZE, DaemonThreadFactory.INSTANCE);
    disruptor.handleEventsWith((slot, sequence, endOfBatch) -> send(slot));
    this.ring = disruptor.start();
  }

  /** Returns a new identity for a record. */
  public String newId() {
    return instance + "/" + UUID.randomUUID();
  }

  /** Returns a record that carries an identity and this instance's name. */
  public LogRecord.Builder newRecord() {
    return LogRecord.newBuilder().setAppendId(newId()).setInstance(instance);
  }

  /**
   * Queues a record.
   *
   * @return its offset once the log has answered; fails when the answer was lost
   */
  public CompletableFuture<Long> append(LogRecord logRecord) {
    CompletableFuture<Long> offset = new CompletableFuture<>();
    boolean queued =
        ring.tryPublishEvent(
            (slot, sequence) -> {
              slot.logRecord = logRecord;
              slot.offset = offset;
            });
    if (!queued) {
      offset.completeExceptionally(
          MarigoldmillException.of(ErrorKind.LOG_UNAVAILABLE, "the ring to the log is full"));
    }
    return offset;
  }

  /** Queues a record whose effect the sender will look for in the reduced log. */
  public void submit(LogRecord logRecord) {
    var unused =
        append(logRecord)
            .whenComplete(
                (offset, failure) -> {
                  if (failure != null) {
                    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                        "append of %s: %s", logRecord.getBodyCase(), failure.getMessage());
                  }
                });
  }

  @Override
  public void close() {
    disruptor.halt();
  }

  private void send(Slot slot) {
    try {
      slot.offset.complete(platform.append(slot.logRecord));
    } catch (RuntimeException e) {
      slot.offset.completeExceptionally(
          MarigoldmillException.of(ErrorKind.LOG_UNAVAILABLE, e.getMessage(), e));
    }
  }
}
