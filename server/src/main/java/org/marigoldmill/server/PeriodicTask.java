package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/** A named thread that repeats one task until it is closed; a task that fails is tried again. */
public final class PeriodicTask implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 5;
  private static final long JOIN_TIMEOUT_MS = 2_000;

  /** One round of a duty. */
  @FunctionalInterface
  public interface Action {
    /** Does the work of one round. */
    void run() throws InterruptedException;
  }

  private final Thread thread;
  private volatile boolean closed;

  private PeriodicTask(String name, long pauseMs, Action action) {
    this.thread = new Thread(() -> runRepeatedly(name, pauseMs, action), name);
    thread.setDaemon(true);
  }

  /** Starts a duty with a pause after each round, in milliseconds. */
  public static PeriodicTask start(long pauseMs, String name, Action action) {
    PeriodicTask task = new PeriodicTask(name, pauseMs, action);
    task.thread.start();
    return task;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(JOIN_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void runRepeatedly(String name, long pauseMs, Action action) {
    while (!closed) {
      try {
        action.run();
        Thread.sleep(pauseMs);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
            "%s: %s", name, e.getMessage());
        logger.atFine().withCause(e).log("%s", name);
        Pause.millis(Math.max(pauseMs, 100));
      }
    }
  }
}
