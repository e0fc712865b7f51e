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
 * Admits requests to pools of upstreams, and queues them while a pool is at capacity.
 *
 * <p>Priority classes are served in order; a lower class that has been skipped 20 times in a row is
 * served next, so that it does not starve. Within a class, organisations share capacity by
 * start-time fair queueing over estimated cost. When the queue of a pool is full, the newest
 * request of the organisation with the most queued requests is evicted from the lowest class, in
 * favour of a higher class or of an organisation with fewer queued requests.
 */
public final class AdmissionController {
  private static final int MAX_SKIPS = 20;
  private static final double MEAN_SMOOTHING = 0.1;
  private static final long INITIAL_MEAN_MS = 100;
  private static final long MIN_RETRY_AFTER_MS = 50;

  /** Outcome of an offer. */
  public enum Verdict {
    ADMITTED,
    QUEUED,
    REFUSED
  }

  /**
   * Answer to an offer.
   *
   * @param verdict outcome
   * @param retryAfterMs delay after which a refused request may be retried, in milliseconds
   * @param evicted queued request that was evicted to make room and has to be refused
   */
  public record Decision(Verdict verdict, long retryAfterMs, Optional<Ticket> evicted) {}

  private record Queued(Ticket ticket, double startTag) {}

  private static final class PriorityClass {
    private final Map<String, Deque<Queued>> queues = new TreeMap<>();
    private final Map<String, Double> finishTags = new HashMap<>();
    private double virtualTime;
    private int skips;

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
    private double meanDurationMs = INITIAL_MEAN_MS;

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
   * Creates a controller with limits for each pool.
   *
   * @param capacity maximum number of concurrent requests of a pool
   * @param queueLimit maximum number of queued requests of a pool
   * @return a controller without requests
   */
  public static AdmissionController withLimits(
      ToIntFunction<String> capacity, ToIntFunction<String> queueLimit) {
    return new AdmissionController(capacity, queueLimit);
  }

  /**
   * Admits, queues or refuses a request; an admitted one must be released later.
   *
   * @param ticket the request
   * @param nowMs present time in milliseconds
   * @return the outcome
   */
  public synchronized Decision offer(Ticket ticket, long nowMs) {
    Pool pool = pool(ticket.pool());
    if (pool.queued() == 0 && pool.running < capacity.applyAsInt(ticket.pool())) {
      pool.running++;
      assignTags(priorityClass(pool, ticket), ticket);
      return new Decision(Verdict.ADMITTED, 0, Optional.empty());
    }
    if (ticket.deadlineMs() <= nowMs) {
      return refuse(pool, ticket);
    }
    Optional<Ticket> evicted = Optional.empty();
    if (pool.queued() >= queueLimit.applyAsInt(ticket.pool())) {
      evicted = evictFor(pool, ticket);
      if (evicted.isEmpty()) {
        return refuse(pool, ticket);
      }
    }
    enqueue(priorityClass(pool, ticket), ticket);
    return new Decision(Verdict.QUEUED, retryAfterMs(pool, ticket.pool()), evicted);
  }

  /**
   * Releases the capacity of a request that has ended.
   *
   * @param ticket the request
   * @param actualCost actual cost, which replaces the estimate in the fair shares
   * @param durationMs time for which it ran, in milliseconds
   * @return queued requests that start now
   */
  public synchronized List<Ticket> release(Ticket ticket, double actualCost, long durationMs) {
    Pool pool = pool(ticket.pool());
    pool.running--;
    pool.meanDurationMs += MEAN_SMOOTHING * (durationMs - pool.meanDurationMs);
    double correction = (actualCost - ticket.estimatedCost()) / ticket.weight();
    priorityClass(pool, ticket).finishTags.merge(ticket.organisation(), correction, Double::sum);
    return startWhileCapacity(pool, ticket.pool());
  }

  /** Starts queued requests after a pool has gained capacity, and returns them. */
  public synchronized List<Ticket> startQueued() {
    List<Ticket> started = new ArrayList<>();
    pools.forEach((name, pool) -> started.addAll(startWhileCapacity(pool, name)));
    return started;
  }

  /** Removes and returns the queued requests whose deadline is at or before {@code nowMs}. */
  public synchronized List<Ticket> expire(long nowMs) {
    List<Ticket> expired = new ArrayList<>();
    pools.values().forEach(p -> p.classes.values().forEach(c -> removeExpired(c, nowMs, expired)));
    return expired;
  }

  /** Returns the number of queued requests of a pool. */
  public synchronized int queued(String pool) {
    return pool(pool).queued();
  }

  /** Returns the number of running requests of a pool. */
  public synchronized int running(String pool) {
    return pool(pool).running;
  }

  private List<Ticket> startWhileCapacity(Pool pool, String name) {
    List<Ticket> started = new ArrayList<>();
    while (pool.running < capacity.applyAsInt(name) && pool.queued() > 0) {
      started.add(dequeue(pool));
      pool.running++;
    }
    return started;
  }

  private static Ticket dequeue(Pool pool) {
    PriorityClass chosen = chooseClass(pool);
    String organisation = nextOrganisation(chosen);
    Deque<Queued> queue = chosen.queues.get(organisation);
    Queued head = queue.pollFirst();
    if (queue.isEmpty()) {
      chosen.queues.remove(organisation);
    }
    chosen.virtualTime = Math.max(chosen.virtualTime, head.startTag());
    return head.ticket();
  }

  private static PriorityClass chooseClass(Pool pool) {
    List<PriorityClass> waiting = pool.classes.values().stream().filter(c -> !c.isEmpty()).toList();
    PriorityClass chosen =
        waiting.stream().filter(c -> c.skips >= MAX_SKIPS).findFirst().orElse(waiting.get(0));
    waiting.forEach(c -> c.skips++);
    chosen.skips = 0;
    return chosen;
  }

  private static String nextOrganisation(PriorityClass priorityClass) {
    return priorityClass.queues.entrySet().stream()
        .min(Comparator.comparingDouble(e -> e.getValue().peekFirst().startTag()))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }

  private static double assignTags(PriorityClass priorityClass, Ticket ticket) {
    double previousFinishTag = priorityClass.finishTags.getOrDefault(ticket.organisation(), 0.0);
    double startTag = Math.max(priorityClass.virtualTime, previousFinishTag);
    priorityClass.finishTags.put(
        ticket.organisation(), startTag + ticket.estimatedCost() / ticket.weight());
    return startTag;
  }

  private static void enqueue(PriorityClass priorityClass, Ticket ticket) {
    double startTag = assignTags(priorityClass, ticket);
    priorityClass
        .queues
        .computeIfAbsent(ticket.organisation(), o -> new ArrayDeque<>())
        .addLast(new Queued(ticket, startTag));
  }

  private static Optional<Ticket> evictFor(Pool pool, Ticket ticket) {
    PriorityClass lowest =
        pool.classes.descendingMap().values().stream()
            .filter(c -> !c.isEmpty())
            .findFirst()
            .orElseThrow();
    boolean lowestIsLower = pool.classes.tailMap(ticket.priority(), false).containsValue(lowest);
    String largestOrganisation =
        lowest.queues.entrySet().stream()
            .max(Comparator.comparingInt(e -> e.getValue().size()))
            .map(Map.Entry::getKey)
            .orElseThrow();
    Deque<Queued> own = lowest.queues.getOrDefault(ticket.organisation(), new ArrayDeque<>());
    boolean sameClass = pool.classes.get(ticket.priority()) == lowest;
    boolean evictionIsFairer =
        sameClass && lowest.queues.get(largestOrganisation).size() > own.size() + 1;
    if (!lowestIsLower && !evictionIsFairer) {
      return Optional.empty();
    }
    return Optional.of(removeNewest(lowest, largestOrganisation));
  }

  private static Ticket removeNewest(PriorityClass priorityClass, String organisation) {
    Deque<Queued> queue = priorityClass.queues.get(organisation);
    Queued newest = queue.pollLast();
    priorityClass.finishTags.put(organisation, newest.startTag());
    if (queue.isEmpty()) {
      priorityClass.queues.remove(organisation);
    }
    return newest.ticket();
  }

  private static void removeExpired(PriorityClass priorityClass, long nowMs, List<Ticket> expired) {
    priorityClass
        .queues
        .values()
        .forEach(
            queue -> {
              queue.stream()
                  .map(Queued::ticket)
                  .filter(t -> t.deadlineMs() <= nowMs)
                  .forEach(expired::add);
              queue.removeIf(q -> q.ticket().deadlineMs() <= nowMs);
            });
    priorityClass.queues.values().removeIf(Deque::isEmpty);
  }

  private Decision refuse(Pool pool, Ticket ticket) {
    return new Decision(Verdict.REFUSED, retryAfterMs(pool, ticket.pool()), Optional.empty());
  }

  private long retryAfterMs(Pool pool, String name) {
    int slots = Math.max(1, capacity.applyAsInt(name));
    return Math.max(MIN_RETRY_AFTER_MS, (long) (pool.queued() * pool.meanDurationMs / slots));
  }

  private static PriorityClass priorityClass(Pool pool, Ticket ticket) {
    return pool.classes.computeIfAbsent(ticket.priority(), p -> new PriorityClass());
  }

  private Pool pool(String name) {
    return pools.computeIfAbsent(name, n -> new Pool());
  }
}
