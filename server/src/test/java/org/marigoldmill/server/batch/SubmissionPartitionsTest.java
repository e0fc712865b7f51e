package org.marigoldmill.server.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.PeriodicTask;
import org.marigoldmill.server.store.CustomLoadStore;
import org.marigoldmill.server.store.FaultyStore;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.MemoryStore;
import org.marigoldmill.server.store.PartitionReplica;
import org.marigoldmill.server.store.StoreUnavailableException;

class SubmissionPartitionsTest {
  private static final int APPEND_BYTES = 1 << 20;
  private static final long TIMEOUT_MS = 1_000;

  private final FaultyStore store = new FaultyStore(1, 0);
  private final AtomicLong nowMs = new AtomicLong(10_000);
  private final SubmissionPartitions here = partitions();
  private final SubmissionPartitions elsewhere = partitions();

  private SubmissionPartitions partitions() {
    return new SubmissionPartitions(store, 1, APPEND_BYTES, Runnable::run, nowMs::get);
  }

  private static void commit(SubmissionPartitions partitions, PartitionReplica.Change change) {
    assertThat(partitions.replicas().get(0).commit(change, TIMEOUT_MS).join())
        .isEqualTo(PartitionReplica.Result.HOLDS);
  }

  @Nested
  class OpenSubmissions {
    @Test
    void should_not_return_an_ended_submission_when_its_partition_was_at_rest_since() {
      // GIVEN
      Submission header = Submission.newBuilder().setId("s").build();
      List<RolloutItem> items = List.of(RolloutItem.newBuilder().setId("i").build());
      commit(here, s -> s.acceptanceRecords(header, items, APPEND_BYTES));
      commit(elsewhere, s -> s.endRecords("s"));
      nowMs.addAndGet(TIMEOUT_MS);
      // WHEN
      here.followAll(true);
      // THEN
      assertThat(here.openSubmissions()).isEmpty();
    }

    @Test
    void should_return_an_open_submission_when_its_partition_has_been_read() {
      // GIVEN
      Submission header = Submission.newBuilder().setId("s").build();
      List<RolloutItem> items = List.of(RolloutItem.newBuilder().setId("i").build());
      commit(elsewhere, s -> s.acceptanceRecords(header, items, APPEND_BYTES));
      // WHEN
      here.followAll(true);
      here.replicas().get(0).follower().catchUp();
      // THEN
      assertThat(here.openSubmissions()).extracting(Submission::getId).containsExactly("s");
    }
  }

  @Nested
  class EngineTimes {
    private static final long WINDOW_MS = 30_000;
    private static final long INTERVAL_MS = 2_000;

    private void store(String submission, long acceptedAtMs, String engine, double msPerEvent) {
      List<RolloutItem> items =
          IntStream.range(0, 3)
              .mapToObj(i -> RolloutItem.newBuilder().setId(submission + i).build())
              .toList();
      Submission header =
          Submission.newBuilder().setId(submission).setAcceptedAtMs(acceptedAtMs).build();
      commit(elsewhere, s -> s.acceptanceRecords(header, items, APPEND_BYTES));
      items.forEach(i -> storeResult(submission, i.getId(), engine, msPerEvent));
    }

    private void storeResult(String submission, String item, String engine, double msPerEvent) {
      ItemResult result =
          ItemResult.newBuilder()
              .setSubmissionId(submission)
              .setItemId(item)
              .setCompleted(true)
              .setEngine(engine)
              .setMsPerEvent(msPerEvent)
              .build();
      commit(elsewhere, s -> s.resultRecords(result));
    }

    private Map<String, Double> timesHere() {
      nowMs.addAndGet(INTERVAL_MS);
      here.followAll(true);
      here.replicas().get(0).follower().catchUp();
      return here.engineTimes();
    }

    @Test
    void should_be_those_of_results_that_another_instance_has_stored() {
      // GIVEN
      store("a", 1_000, "fast", 23);
      store("b", 2_000, "slow", 50);
      // WHEN, THEN
      assertThat(timesHere()).isEqualTo(Map.of("fast", 23.0, "slow", 50.0));
      assertThat(elsewhere.engineTimes()).isEqualTo(timesHere());
    }

    @Test
    void should_forget_results_of_old_submissions() {
      // GIVEN
      store("a", 1_000, "gone", 23);
      store("b", 1_001 + WINDOW_MS, "slow", 50);
      // WHEN, THEN
      assertThat(timesHere()).containsOnlyKeys("slow");
    }

    @Test
    void should_be_unknown_when_a_former_build_stored_the_results() {
      // GIVEN
      store("a", 1_000, "", 0);
      // WHEN, THEN
      assertThat(timesHere()).isEmpty();
    }
  }

  /** Loads over a link that bears only some at a time; others exceed the time limit of a read. */
  @Nested
  class Loads {
    private static final int PARTITIONS = 24;
    private static final int LOADS_IN_TIME = 8;
    private static final String SUBMISSION = "s";
    private static final long LOAD_MS = 20;

    private final AtomicInteger loading = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final MemoryStore content = new MemoryStore();

    private LogStore.LatestRecords load(int partition) {
      boolean inTime = loading.incrementAndGet() <= LOADS_IN_TIME;
      Pause.millis(LOAD_MS);
      loading.decrementAndGet();
      if (!inTime) {
        failed.incrementAndGet();
        throw new StoreUnavailableException("no answer in time");
      }
      return content.readLatest(SubmissionPartitions.TOPIC, partition);
    }

    private SubmissionPartitions partitions(IntFunction<LogStore.LatestRecords> load) {
      LogStore store = new CustomLoadStore(content, load);
      return new SubmissionPartitions(
          store, PARTITIONS, APPEND_BYTES, Runnable::run, Clock.monotonic());
    }

    /** A new owner read partitions for seconds, again and again, and items of its model waited. */
    @Test
    void should_all_succeed_the_first_time_when_an_instance_takes_over_a_model() {
      // GIVEN
      SubmissionPartitions partitions = partitions(this::load);
      partitions.followAll(true);
      // WHEN
      List<PeriodicTask> followers =
          partitions.replicas().stream()
              .map(r -> PeriodicTask.start(0, "partition", r::pollOnce))
              .toList();
      while (!partitions.replicas().stream().allMatch(PartitionReplica::current)) {
        Pause.millis(LOAD_MS);
      }
      PeriodicTask.stopAll(followers, TIMEOUT_MS);
      // THEN
      assertThat(failed).hasValue(0);
    }

    /** A new owner started nothing for a second, or until all partitions were loaded. */
    @Test
    void should_be_current_when_the_partitions_of_the_latest_submissions_are_loaded() {
      // GIVEN
      CountDownLatch others = new CountDownLatch(1);
      SubmissionPartitions partitions =
          partitions(
              partition -> {
                if (partition != SUBMISSION.hashCode() % PARTITIONS) {
                  await(others);
                }
                return content.readLatest(SubmissionPartitions.TOPIC, partition);
              });
      partitions.setLatestSubmissions(() -> List.of(SUBMISSION));
      partitions.followAll(true);
      assertThat(partitions.current()).isFalse();
      // WHEN
      boolean loaded = partitions.replicaFor(SUBMISSION).follower().catchUp();
      // THEN
      assertThat(loaded).isTrue();
      assertThat(partitions.current()).isTrue();
      assertThat(partitions.openSubmissions()).isEmpty();
      others.countDown();
    }

    private static void await(CountDownLatch latch) {
      try {
        latch.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
