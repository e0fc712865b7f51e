package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.marigoldmill.core.submission.PartitionState;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionReplica;
import org.marigoldmill.server.store.Topic;

/** Replicas of all partitions of submissions. */
public final class SubmissionPartitions {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Where submissions and their results are stored. */
  public static final Topic TOPIC = new Topic("submissions", true);

  private static final long POLL_MS = 2_000;
  private static final long RETRY_MS = 50;
  private static final long FORGET_MS = 2_000;

  private final List<PartitionReplica> replicas;
  private final AtomicLong changeCount = new AtomicLong();

  /**
   * Creates the replicas.
   *
   * @param count number of partitions
   * @param callBytes largest append
   * @param executor runs appends
   */
  public SubmissionPartitions(
      LogStore store, int count, int callBytes, Executor executor, Clock clock) {
    IntFunction<PartitionReplica> replica =
        p ->
            new PartitionReplica(
                store,
                TOPIC,
                p,
                callBytes,
                POLL_MS,
                RETRY_MS,
                executor,
                clock,
                this::notifyChanged);
    this.replicas = IntStream.range(0, count).mapToObj(replica).toList();
  }

  /** Returns all replicas. */
  public List<PartitionReplica> replicas() {
    return replicas;
  }

  /** Returns the replica that holds a submission. */
  public PartitionReplica replicaFor(String submission) {
    return replicas.get(partitionOf(submission));
  }

  /** Returns the partition that a name belongs to. */
  public int partitionOf(String name) {
    return Math.floorMod(name.hashCode(), replicas.size());
  }

  /** Returns whether every partition has been read to its end once. */
  public boolean ready() {
    return replicas.stream().allMatch(r -> r.follower().ready());
  }

  /** Returns the submissions that lack results. */
  public List<Submission> openSubmissions() {
    return states().flatMap(s -> s.open().stream()).toList();
  }

  /** Returns all submissions that are stored. */
  public List<Submission> allSubmissions() {
    return states().flatMap(s -> s.heads().stream()).toList();
  }

  /**
   * Drops ended submissions that were accepted before a time.
   *
   * @param unixMs time in Unix milliseconds
   * @param held whether this process is in charge of a partition
   */
  public void deleteEndedBefore(long unixMs, IntPredicate held) {
    IntStream.range(0, replicas.size())
        .filter(held)
        .mapToObj(replicas::get)
        .filter(r -> r.follower().ready())
        .forEach(r -> r.state().endedBefore(unixMs).forEach(id -> forget(r, id)));
  }

  private static void forget(PartitionReplica replica, String id) {
    var unused =
        replica
            .commit(s -> s.forget(id), FORGET_MS)
            .thenAccept(
                result -> logger.atInfo().log("submission dropped id=%s outcome=%s", id, result));
  }

  /** Returns a number that grows with each change. */
  public long changeCount() {
    return changeCount.get();
  }

  /** Waits until something has changed, or until a time has passed, in milliseconds. */
  public void awaitChange(long timeoutMs) {
    long seen = changeCount.get();
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

  /** Wakes those who wait for a change. */
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
