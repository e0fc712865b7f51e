package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A daemon thread that repeats an action with a fixed delay until it is stopped.
 *
 * <p>An action that throws is logged and run again.
 */
public final class PeriodicTask implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 5;
  private static final long MIN_RETRY_PAUSE_MS = 100;
  private static final long CLOSE_TIMEOUT_MS = 2_000;

  /** The action of a periodic task. */
  @FunctionalInterface
  public interface Action {
    /** Runs the action once. */
    void run() throws InterruptedException;
  }

  private final String name;
  private final Thread thread;
  private volatile boolean stopped;

  private PeriodicTask(String name, LongSupplier pauseMs, Action action) {
    this.name = name;
    this.thread = new Thread(() -> runRepeatedly(pauseMs, action), name);
    thread.setDaemon(true);
  }

  /**
   * Starts a task.
   *
   * @param pauseMs pause after each run, in milliseconds
   * @param name name of the thread
   */
  public static PeriodicTask start(long pauseMs, String name, Action action) {
    return start(() -> pauseMs, name, action);
  }

  /**
   * Starts a task whose pause changes with the duties of its process.
   *
   * @param pauseMs returns the pause after a run, in milliseconds
   * @param name name of the thread
   */
  public static PeriodicTask start(LongSupplier pauseMs, String name, Action action) {
    PeriodicTask task = new PeriodicTask(name, pauseMs, action);
    task.thread.start();
    return task;
  }

  /**
   * Stops tasks: interrupts all of them first, and then waits for them together.
   *
   * @param timeoutMs longest wait for all tasks together, in milliseconds
   */
  public static void stopAll(Collection<PeriodicTask> tasks, long timeoutMs) {
    tasks.forEach(PeriodicTask::interrupt);
    long untilMs = System.nanoTime() / 1_000_000 + timeoutMs;
    try {
      for (PeriodicTask task : tasks) {
        task.thread.join(Math.max(1, untilMs - System.nanoTime() / 1_000_000));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    tasks.stream()
        .filter(t -> t.thread.isAlive())
        .forEach(t -> logger.atWarning().log("periodic task still runs name=%s", t.name));
  }

  @Override
  public void close() {
    stopAll(List.of(this), CLOSE_TIMEOUT_MS);
  }

  private void interrupt() {
    stopped = true;
    thread.interrupt();
  }

  private void runRepeatedly(LongSupplier pauseMs, Action action) {
    while (!stopped) {
      try {
        action.run();
        Thread.sleep(pauseMs.getAsLong());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
            "periodic task failed name=%s cause=%s", name, e.getMessage());
        logger.atFine().withCause(e).log("periodic task failed name=%s", name);
        Pause.millis(Math.max(pauseMs.getAsLong(), MIN_RETRY_PAUSE_MS));
      }
    }
  }
}
