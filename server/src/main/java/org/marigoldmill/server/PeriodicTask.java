package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/**
 * A daemon thread that repeats an action with a fixed delay until it is closed.
 *
 * <p>An action that throws is logged and run again.
 */
public final class PeriodicTask implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 5;
  private static final long JOIN_TIMEOUT_MS = 2_000;

  /** The action of a periodic task. */
  @FunctionalInterface
  public interface Action {
    /** Runs the action once. */
    void run() throws InterruptedException;
  }

  private final Thread thread;
  private volatile boolean closed;

  private PeriodicTask(String name, long pauseMs, Action action) {
    this.thread = new Thread(() -> runRepeatedly(name, pauseMs, action), name);
    thread.setDaemon(true);
  }

  /**
   * Starts a task.
   *
   * @param pauseMs pause after each run, in milliseconds
   * @param name name of the thread
   */
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
            "periodic task failed name=%s cause=%s", name, e.getMessage());
        logger.atFine().withCause(e).log("periodic task failed name=%s", name);
        Pause.millis(Math.max(pauseMs, 100));
      }
    }
  }
}
