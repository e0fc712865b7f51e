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
 * Appends records to the log on a dedicated thread, fed by a bounded ring buffer.
 *
 * <p>A record is sent once, because an append whose response was lost may have taken effect.
 * Callers decide from the state reduced from the log whether to append again.
 */
public final class LogAppender implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int RING_SIZE = 256;

  private static final class AppendEvent {
    private LogRecord logRecord;
    private CompletableFuture<Long> offset;
  }

  private final PlatformClient platform;
  private final String instance;
  private final Disruptor<AppendEvent> disruptor;
  private final RingBuffer<AppendEvent> ring;

  /** Starts the appender thread. */
  public LogAppender(PlatformClient platform, String instance) {
    this.platform = platform;
    this.instance = instance;
    this.disruptor = new Disruptor<>(AppendEvent::new, RING_SIZE, DaemonThreadFactory.INSTANCE);
    disruptor.handleEventsWith((event, sequence, endOfBatch) -> send(event));
    this.ring = disruptor.start();
  }

  /** Returns a new unique append ID. */
  public String newId() {
    return instance + "/" + UUID.randomUUID();
  }

  /** Returns a record builder with a new append ID and this instance's name. */
  public LogRecord.Builder newRecord() {
    return LogRecord.newBuilder().setAppendId(newId()).setInstance(instance);
  }

  /**
   * Queues a record.
   *
   * @return the offset of the record; completes exceptionally when the ring is full, the append
   *     failed or its response was lost
   */
  public CompletableFuture<Long> append(LogRecord logRecord) {
    CompletableFuture<Long> offset = new CompletableFuture<>();
    boolean queued =
        ring.tryPublishEvent(
            (event, sequence) -> {
              event.logRecord = logRecord;
              event.offset = offset;
            });
    if (!queued) {
      offset.completeExceptionally(
          MarigoldmillException.of(
              ErrorKind.LOG_UNAVAILABLE,
              "log append ring is full: " + RING_SIZE + " records queued"));
    }
    return offset;
  }

  /** Queues a record without a result; the sender finds its effect in the reduced log. */
  public void submit(LogRecord logRecord) {
    var unused =
        append(logRecord)
            .whenComplete(
                (offset, failure) -> {
                  if (failure != null) {
                    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                        "log append of %s failed: %s",
                        logRecord.getBodyCase(), failure.getMessage());
                  }
                });
  }

  @Override
  public void close() {
    disruptor.halt();
  }

  private void send(AppendEvent event) {
    try {
      event.offset.complete(platform.append(event.logRecord));
    } catch (RuntimeException e) {
      event.offset.completeExceptionally(
          MarigoldmillException.of(ErrorKind.LOG_UNAVAILABLE, e.getMessage(), e));
    }
  }
}
