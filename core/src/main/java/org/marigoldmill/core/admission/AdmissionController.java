package org.marigoldmill.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * Decides whose request goes to a pool of upstreams next.
 *
 * <p>Classes are served in order of priority, with a floor for each lower class. Inside a class,
 * organisations share by start-time fair queueing over estimated cost. A full queue makes room for
 * an organisation with little queued by giving up the newest request of the one with most.
 */
public final class AdmissionController {
  private static final int FLOOR_INTERVAL = 20;
  private static final double MEAN_WEIGHT = 0.1;
  private static final long FIRST_MEAN_MS = 100;
  private static final long SHORTEST_RETRY_MS = 50;

  /** What became of an offer. */
  public enum Verdict {
    ADMITTED,
    QUEUED,
    REFUSED
  }

  /**
   * Answer to an offer.
   *
   * @param verdict what became of it
   * @param retryAfterMs when a refused request may come back, in milliseconds
   * @param evicted queued request that had to give way and is refused in its place
   */
  public record Decision(Verdict verdict, long retryAfterMs, Optional<Ticket> evicted) {}

  private record Queued(Ticket ticket, double start) {}

  private static final class PriorityClass {
    private final Map<String, Deque<Queued>> queues = new TreeMap<>();
    private final Map<String, Double> lastFinish = new HashMap<>();
    private double virtualTime;
    private int passedOver;

    private boolean isEmpty() {
      return queues.isEmpty();
    }

    private int size() {
      return queues.values().stream().mapToInt(Deque::size).sum();
    }
  }

  private static final class Pool {
    private final TreeMap<Integer, PriorityClass> classes = new TreeMap<>();
    private int running;
    private double meanMs = FIRST_MEAN_MS;

    private int queued() {
      return classes.values().stream().mapToInt(PriorityClass::size).sum();
    }
  }

  private final ToIntFunction<String> capacity;
  private final ToIntFunction<String> queueLimit;
  private final Map<String, Pool> pools = new HashMap<>();

  private AdmissionController(ToIntFunction<String> capacity, ToIntFunction<String> queueLimit) {
    this.capacity = capacity;
    this.queueLimit = queueLimit;
  }

  /**
   * Creates an admission with limits for each pool.
   *
   * @param capacity most requests that run at once in a pool
   * @param queueLimit most requests that wait for a pool
   * @return an empty admission
   */
  public static AdmissionController withLimits(
      ToIntFunction<String> capacity, ToIntFunction<String> queueLimit) {
    return new AdmissionController(capacity, queueLimit);
  }

  /** Offers a request; an admitted one must be released later. */
  public synchronized Decision offer(Ticket ticket, long now) {
    Pool pool = pool(ticket.pool());
    if (pool.queued() == 0 && pool.running < capacity.applyAsInt(ticket.pool())) {
      pool.running++;
      tag(priorityClass(pool, ticket), ticket);
      return new Decision(Verdict.ADMITTED, 0, Optional.empty());
    }
    if (ticket.deadlineMs() <= now) {
      return refusal(pool, ticket);
    }
    Optional<Ticket> evicted = Optional.empty();
    if (pool.queued() >= queueLimit.applyAsInt(ticket.pool())) {
      evicted = evictFor(pool, ticket);
      if (evicted.isEmpty()) {
        return refusal(pool, ticket);
      }
    }
    enqueue(priorityClass(pool, ticket), ticket);
    return new Decision(Verdict.QUEUED, retryAfter(pool, ticket.pool()), evicted);
  }

  /**
   * Ends a running request.
   *
   * @param ticket the request
   * @param actualCost cost now known
   * @param durationMs time that it ran, in milliseconds
   * @return requests that may start now
   */
  public synchronized List<Ticket> release(Ticket ticket, double actualCost, long durationMs) {
    Pool pool = pool(ticket.pool());
    pool.running--;
    pool.meanMs += MEAN_WEIGHT * (durationMs - pool.meanMs);
    double correction = (actualCost - ticket.estimatedCost()) / ticket.weight();
    priorityClass(pool, ticket).lastFinish.merge(ticket.organisation(), correction, Double::sum);
    return start(pool, ticket.pool());
  }

  /** Returns requests that may start because capacity has grown. */
  public synchronized List<Ticket> startQueued() {
    List<Ticket> started = new ArrayList<>();
    pools.forEach((name, pool) -> started.addAll(start(pool, name)));
    return started;
  }

  /** Removes and returns the queued requests whose deadline has passed. */
  public synchronized List<Ticket> expire(long now) {
    List<Ticket> expired = new ArrayList<>();
    pools.values().forEach(p -> p.classes.values().forEach(c -> removeExpired(c, now, expired)));
    return expired;
  }

  /** Returns how many requests wait for a pool. */
  public synchronized int queued(String pool) {
    return pool(pool).queued();
  }

  /** Returns how many requests run in a pool. */
  public synchronized int running(String pool) {
    return pool(pool).running;
  }

  private List<Ticket> start(Pool pool, String name) {
    List<Ticket> started = new ArrayList<>();
    while (pool.running < capacity.applyAsInt(name) && pool.queued() > 0) {
      started.add(next(pool));
      pool.running++;
    }
    return started;
  }

  private static Ticket next(Pool pool) {
    PriorityClass chosen = chooseClass(pool);
    String organisation = earliest(chosen);
    Deque<Queued> queue = chosen.queues.get(organisation);
    Queued head = queue.pollFirst();
    if (queue.isEmpty()) {
      chosen.queues.remove(organisation);
    }
    chosen.virtualTime = Math.max(chosen.virtualTime, head.start());
    return head.ticket();
  }

  private static PriorityClass chooseClass(Pool pool) {
    List<PriorityClass> waiting = pool.classes.values().stream().filter(c -> !c.isEmpty()).toList();
    PriorityClass chosen =
        waiting.stream()
            .filter(c -> c.passedOver >= FLOOR_INTERVAL)
            .findFirst()
            .orElse(waiting.get(0));
    waiting.forEach(c -> c.passedOver++);
    chosen.passedOver = 0;
    return chosen;
  }

  private static String earliest(PriorityClass priorityClass) {
    return priorityClass.queues.entrySet().stream()
        .min(Comparator.comparingDouble(e -> e.getValue().peekFirst().start()))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }

  private static double tag(PriorityClass priorityClass, Ticket ticket) {
    double last = priorityClass.lastFinish.getOrDefault(ticket.organisation(), 0.0);
    double start = Math.max(priorityClass.virtualTime, last);
    priorityClass.lastFinish.put(
        ticket.organisation(), start + ticket.estimatedCost() / ticket.weight());
    return start;
  }

  private static void enqueue(PriorityClass priorityClass, Ticket ticket) {
    double start = tag(priorityClass, ticket);
    priorityClass
        .queues
        .computeIfAbsent(ticket.organisation(), o -> new ArrayDeque<>())
        .addLast(new Queued(ticket, start));
  }

  private static Optional<Ticket> evictFor(Pool pool, Ticket ticket) {
    PriorityClass lowest =
        pool.classes.descendingMap().values().stream()
            .filter(c -> !c.isEmpty())
            .findFirst()
            .orElseThrow();
    boolean lowerClass = pool.classes.tailMap(ticket.priority(), false).containsValue(lowest);
    String longest =
        lowest.queues.entrySet().stream()
            .max(Comparator.comparingInt(e -> e.getValue().size()))
            .map(Map.Entry::getKey)
            .orElseThrow();
    Deque<Queued> own = lowest.queues.getOrDefault(ticket.organisation(), new ArrayDeque<>());
    boolean sameClass = pool.classes.get(ticket.priority()) == lowest;
    boolean fairer = sameClass && lowest.queues.get(longest).size() > own.size() + 1;
    if (!lowerClass && !fairer) {
      return Optional.empty();
    }
    return Optional.of(removeNewest(lowest, longest));
  }

  private static Ticket removeNewest(PriorityClass priorityClass, String organisation) {
    Deque<Queued> queue = priorityClass.queues.get(organisation);
    Queued newest = queue.pollLast();
    priorityClass.lastFinish.put(organisation, newest.start());
    if (queue.isEmpty()) {
      priorityClass.queues.remove(organisation);
    }
    return newest.ticket();
  }

  private static void removeExpired(PriorityClass priorityClass, long now, List<Ticket> expired) {
    priorityClass
        .queues
        .values()
        .forEach(
            queue -> {
              queue.stream()
                  .map(Queued::ticket)
                  .filter(t -> t.deadlineMs() <= now)
                  .forEach(expired::add);
              queue.removeIf(q -> q.ticket().deadlineMs() <= now);
            });
    priorityClass.queues.values().removeIf(Deque::isEmpty);
  }

  private Decision refusal(Pool pool, Ticket ticket) {
    return new Decision(Verdict.REFUSED, retryAfter(pool, ticket.pool()), Optional.empty());
  }

  private long retryAfter(Pool pool, String name) {
    int slots = Math.max(1, capacity.applyAsInt(name));
    return Math.max(SHORTEST_RETRY_MS, (long) (pool.queued() * pool.meanMs / slots));
  }

  private static PriorityClass priorityClass(Pool pool, Ticket ticket) {
    return pool.classes.computeIfAbsent(ticket.priority(), p -> new PriorityClass());
  }

  private Pool pool(String name) {
    return pools.computeIfAbsent(name, n -> new Pool());
  }
}
