package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.marigoldmill.core.balance.BackgroundWindow;
import org.marigoldmill.core.balance.LoadReport;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.server.Clock;

/** Lets background requests wait until the window of their service has room for them. */
public final class BackgroundGate {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 1;

  private static final class Service {
    private final ReentrantLock lock = new ReentrantLock(true);
    private final Condition room = lock.newCondition();
    private final BackgroundWindow window = new BackgroundWindow();
    private int waiting;
  }

  private final Map<String, Service> services = new ConcurrentHashMap<>();
  private final UpstreamTable upstreams;
  private final Clock clock;

  /**
   * Creates a gate.
   *
   * @param upstreams tells which slots are usually free
   */
  public BackgroundGate(UpstreamTable upstreams, Clock clock) {
    this.upstreams = upstreams;
    this.clock = clock;
  }

  /**
   * Waits until a request may be sent, in the order of arrival, and counts it as in flight.
   *
   * @param remainingMs time until its deadline, in milliseconds; part of it is waited at most
   */
  void enter(String service, long remainingMs) {
    Service entered = service(service);
    double workMs = upstreams.usualWorkMs(service);
    entered.lock.lock();
    try {
      long leftNs = TimeUnit.MILLISECONDS.toNanos(entered.window.maxWaitMs(remainingMs, workMs));
      boolean counted = entered.waiting == 0 && tryEnter(service, entered);
      entered.waiting++;
      while (!counted && leftNs > 0) {
        leftNs = entered.room.awaitNanos(leftNs);
        counted = tryEnter(service, entered);
      }
      entered.waiting--;
      if (!counted) {
        entered.window.enter(clock.now());
        logger.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
            "background request sent beyond window service=%s window=%d waiting=%d",
            service, entered.window.size(), entered.waiting);
      }
      entered.room.signal();
    } catch (InterruptedException e) {
      entered.waiting--;
      entered.window.enter(clock.now());
      Thread.currentThread().interrupt();
    } finally {
      entered.lock.unlock();
    }
  }

  /** Records the end of a request that has entered. */
  void leave(String service) {
    change(service, w -> w.leave(clock.now()));
  }

  /**
   * Records an answer to a background request, with the load that the upstream reported, if any.
   */
  void recordAnswer(String service, Optional<LoadReport> report) {
    double workMs = upstreams.usualWorkMs(service);
    change(
        service,
        w -> report.ifPresentOrElse(r -> w.recordReport(r, workMs, clock.now()), w::recordAnswer));
  }

  /** Records that an upstream refused a background request because it is full. */
  void recordRefusal(String service) {
    double workMs = upstreams.usualWorkMs(service);
    change(service, w -> w.recordRefusal(workMs, clock.now()));
  }

  private boolean tryEnter(String service, Service entered) {
    return entered.window.tryEnter(upstreams.usualFreeSlots(service), clock.now());
  }

  private void change(String service, Consumer<BackgroundWindow> change) {
    Service changed = service(service);
    changed.lock.lock();
    try {
      change.accept(changed.window);
      changed.room.signal();
    } finally {
      changed.lock.unlock();
    }
  }

  private Service service(String name) {
    return services.computeIfAbsent(name, n -> new Service());
  }
}
