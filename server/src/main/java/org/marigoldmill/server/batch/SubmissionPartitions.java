package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.marigoldmill.core.placement.EngineTimes;
import org.marigoldmill.core.submission.KeptTexts;
import org.marigoldmill.core.submission.PartitionState;
import org.marigoldmill.core.submission.TextSnapshot;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.store.BoundedLoadStore;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionReplica;
import org.marigoldmill.server.store.Topic;

/** The replicas of all partitions in which submissions are stored. */
public final class SubmissionPartitions {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Topic of submissions and their results. */
  public static final Topic TOPIC = new Topic("submissions", true);

  private static final long READ_WAIT_MS = 2_000;
  private static final long APPEND_RETRY_MS = 50;
  private static final long DELETE_TIMEOUT_MS = 2_000;

  /** Number of partitions that are loaded at a time; their pages share the instance's link. */
  private static final int PARALLEL_LOADS = 4;

  /** Time after which partitions that cannot be read no longer hold up work on the others. */
  private static final long MAX_LOAD_WAIT_MS = 1_000;

  /** Interval after which the times of engines are computed again. */
  private static final long ENGINE_TIMES_INTERVAL_MS = 2_000;

  /** Time before the newest submission in which results tell how fast an engine is. */
  private static final long ENGINE_TIMES_WINDOW_MS = 30_000;

  private final List<PartitionReplica> replicas;
  private final AtomicLong changeCount = new AtomicLong();
  private volatile Supplier<List<String>> latestSubmissions = List::of;
  private final Clock clock;
  private boolean followed;
  private long followedSinceMs;
  private Map<String, Double> engineTimes = Map.of();
  private long engineTimesUntilMs = Long.MIN_VALUE;

  /**
   * Creates a replica of each partition.
   *
   * @param count number of partitions
   * @param maxAppendBytes maximum size of an append, in bytes
   * @param executor runs the appends
   */
  public SubmissionPartitions(
      LogStore store, int count, int maxAppendBytes, Executor executor, Clock clock) {
    LogStore boundedStore =
        new BoundedLoadStore(store, PARALLEL_LOADS, this::partitionsLoadedFirst);
    IntFunction<PartitionReplica> replica =
        p ->
            new PartitionReplica(
                boundedStore,
                TOPIC,
                p,
                maxAppendBytes,
                READ_WAIT_MS,
                APPEND_RETRY_MS,
                executor,
                clock,
                this::notifyChanged);
    this.clock = clock;
    this.replicas = IntStream.range(0, count).mapToObj(replica).toList();
  }

  /**
   * Sets what tells the ids of submissions that this instance may have to work on, most urgent
   * first. Their partitions are loaded before others.
   */
  public void setLatestSubmissions(Supplier<List<String>> latest) {
    latestSubmissions = latest;
  }

  private List<Integer> partitionsLoadedFirst() {
    return latestSubmissions.get().stream().map(this::partitionOf).distinct().toList();
  }

  /** Returns the replicas in the order of their partitions. */
  public List<PartitionReplica> replicas() {
    return replicas;
  }

  /** Returns the replica of the partition to which a submission id is mapped. */
  public PartitionReplica replicaFor(String submission) {
    return replicas.get(partitionOf(submission));
  }

  /** Returns the number of the partition to which a name is mapped. */
  public int partitionOf(String name) {
    return Math.floorMod(name.hashCode(), replicas.size());
  }

  /** Follows all partitions until the next call, or lets them rest until they are asked for. */
  public synchronized void followAll(boolean follow) {
    if (follow == followed) {
      return;
    }
    logger.atInfo().log("partitions followed=%s count=%d", follow, replicas.size());
    followed = follow;
    followedSinceMs = clock.now();
    replicas.forEach(r -> r.setFollowed(follow));
  }

  /** Returns whether all partitions are followed until further notice. */
  public synchronized boolean followed() {
    return followed;
  }

  /**
   * Returns whether all partitions are followed, and those with submissions to work on are up to
   * date, as far as that is known and they could be read in reasonable time.
   */
  public synchronized boolean current() {
    return followed
        && (replicas.stream().allMatch(PartitionReplica::current)
            || latestAreCurrent()
            || clock.now() - followedSinceMs > MAX_LOAD_WAIT_MS);
  }

  private boolean latestAreCurrent() {
    List<Integer> first = partitionsLoadedFirst();
    return !first.isEmpty()
        && first.stream().map(replicas::get).allMatch(PartitionReplica::current);
  }

  /** Returns the number of partitions that are followed now. */
  public long followedCount() {
    return replicas.stream().filter(PartitionReplica::followed).count();
  }

  /**
   * Returns the submissions that are not ended and lack results, of the partitions that are up to
   * date; the old state of others may contain submissions that have ended.
   */
  public List<Submission> openSubmissions() {
    return replicas.stream()
        .filter(PartitionReplica::current)
        .flatMap(r -> r.state().unfinishedSubmissions().stream())
        .toList();
  }

  /**
   * Returns the results whose texts a submission may use, by the digest of their item: those of
   * recent submissions of its model, with versions that it accepts.
   */
  Map<String, ItemResult> usableResults(Submission submission) {
    long oldestMs = submission.getAcceptedAtMs() - KeptTexts.KEPT_MS;
    Map<String, ItemResult> usable = new HashMap<>();
    states()
        .flatMap(
            state ->
                state.submissions().stream()
                    .filter(s -> s.getModel().equals(submission.getModel()))
                    .filter(s -> s.getAcceptedAtMs() >= oldestMs)
                    .filter(s -> !s.getId().equals(submission.getId()))
                    .flatMap(s -> state.results(s.getId()).stream()))
        .filter(r -> r.getCompleted() && !r.getItemDigest().isEmpty())
        .filter(
            r ->
                TextSnapshot.fits(
                    r.getVersionsList(), submission.getMinVersion(), submission.getSingleVersion()))
        .forEach(r -> usable.put(r.getItemDigest(), r));
    return usable;
  }

  /** Returns all stored submissions. */
  public List<Submission> allSubmissions() {
    return states().flatMap(s -> s.submissions().stream()).toList();
  }

  /**
   * Returns the time that each engine took for an event in recent submissions, in milliseconds;
   * engines with few results are left out.
   *
   * <p>The times are those of stored results, so processes that have read the partitions agree on
   * them, up to the interval in which they are computed.
   */
  public synchronized Map<String, Double> engineTimes() {
    if (clock.now() >= engineTimesUntilMs) {
      engineTimes = computeEngineTimes();
      engineTimesUntilMs = clock.now() + ENGINE_TIMES_INTERVAL_MS;
    }
    return engineTimes;
  }

  private Map<String, Double> computeEngineTimes() {
    long newestMs =
        allSubmissions().stream().mapToLong(Submission::getAcceptedAtMs).max().orElse(0);
    EngineTimes times = new EngineTimes();
    states()
        .flatMap(
            state ->
                state.submissions().stream()
                    .filter(s -> s.getAcceptedAtMs() >= newestMs - ENGINE_TIMES_WINDOW_MS)
                    .flatMap(s -> state.results(s.getId()).stream()))
        .forEach(r -> times.add(r.getEngine(), r.getMsPerEvent()));
    return times.medians();
  }

  /**
   * Starts to delete the ended submissions that were accepted before a time.
   *
   * @param acceptedBeforeUnixMs exclusive limit of the time of acceptance, in Unix milliseconds
   * @param owned tells whether this process owns a partition
   */
  public void deleteEnded(long acceptedBeforeUnixMs, IntPredicate owned) {
    IntStream.range(0, replicas.size())
        .filter(owned)
        .mapToObj(replicas::get)
        .filter(r -> r.current() || r.follower().catchUp())
        .forEach(
            r -> r.state().endedAcceptedBefore(acceptedBeforeUnixMs).forEach(id -> delete(r, id)));
  }

  private static void delete(PartitionReplica replica, String id) {
    var unused =
        replica
            .commit(s -> s.deletionRecords(id), DELETE_TIMEOUT_MS)
            .thenAccept(
                result ->
                    logger.atInfo().log(
                        "submission deleted after retention id=%s outcome=%s", id, result));
  }

  /** Returns a counter that increases with each change. */
  public long changeCount() {
    return changeCount.get();
  }

  /**
   * Waits until the counter of changes exceeds a value, at most for a number of milliseconds.
   *
   * @param seen value of the counter before the caller read the state
   */
  public void awaitChange(long seen, long timeoutMs) {
    synchronized (changeCount) {
      try {
        if (changeCount.get() == seen && timeoutMs > 0) {
          changeCount.wait(timeoutMs);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Counts a change and wakes the threads that wait for one. */
  public void notifyChanged() {
    synchronized (changeCount) {
      changeCount.incrementAndGet();
      changeCount.notifyAll();
    }
  }

  private Stream<PartitionState> states() {
    return replicas.stream().map(PartitionReplica::state);
  }
}
