package org.marigoldmill.server.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.submission.KeyedRecord;

class PartitionFollowerTest {
  private static final Topic TOPIC = new Topic("op", true);
  private static final long WAIT_MS = 1_000;

  private final AtomicLong nowMs = new AtomicLong(50_000);
  private final ScriptedStore store = new ScriptedStore();
  private final PartitionFollower follower =
      new PartitionFollower(store, TOPIC, 0, WAIT_MS, 0, new NoSink(), nowMs::get);

  @Nested
  class AfterAnOutage {
    @Test
    void should_not_wait_for_a_record_when_the_last_read_was_refused() throws InterruptedException {
      // GIVEN
      follower.pollOnce();
      store.answer = PartitionFollowerTest::refuse;
      follower.pollOnce();
      // WHEN
      store.answer = PartitionFollowerTest::answerEmpty;
      follower.pollOnce();
      follower.pollOnce();
      // THEN: the first read after the refusal returns at once, the next one waits again
      assertThat(store.waitsMs).containsExactly(0L, WAIT_MS, 0L, WAIT_MS);
    }
  }

  @Nested
  class BetweenReads {
    @Test
    void should_pause_as_its_process_demands_when_records_keep_coming()
        throws InterruptedException {
      // GIVEN
      Queue<Long> pausesMs = new ArrayDeque<>(List.of(0L, 60L, 60L));
      PartitionFollower follower =
          new PartitionFollower(
              store, TOPIC, 0, WAIT_MS, pausesMs::remove, new NoSink(), nowMs::get);
      store.answer = waitMs -> new LogStore.ReadResult(false, 0, 9, List.of(record(0)));
      // WHEN
      for (int i = 0; i < 3; i++) {
        follower.pollOnce();
      }
      store.answer = PartitionFollowerTest::answerEmpty;
      follower.pollOnce();
      // THEN
      assertThat(pausesMs).isEmpty();
    }

    private StoredRecord record(long offset) {
      return new StoredRecord(offset, "key", Optional.empty());
    }
  }

  @Nested
  class AfterALoad {
    @Test
    void should_not_wait_for_a_record_when_the_history_was_trimmed() throws InterruptedException {
      // GIVEN
      follower.pollOnce();
      store.answer = waitMs -> new LogStore.ReadResult(true, 8, 8, List.of());
      nowMs.addAndGet(WAIT_MS + 700);
      follower.pollOnce();
      // WHEN
      store.answer = PartitionFollowerTest::answerEmpty;
      follower.pollOnce();
      // THEN
      assertThat(store.waitsMs).containsExactly(0L, WAIT_MS, 0L);
      assertThat(follower.overdueMs()).isZero();
    }
  }

  @Nested
  class Overdue {
    @Test
    void should_be_overdue_from_the_start_when_nothing_was_read() {
      assertThat(follower.overdueMs()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void should_not_be_overdue_when_every_wait_ends_in_time() throws InterruptedException {
      // GIVEN
      follower.pollOnce();
      // WHEN
      for (int i = 0; i < 3; i++) {
        follower.pollOnce();
        assertThat(follower.overdueMs()).isZero();
      }
    }

    @Test
    void should_be_overdue_from_the_end_of_the_wait_on_when_the_store_refuses()
        throws InterruptedException {
      // GIVEN
      follower.pollOnce();
      store.answer = PartitionFollowerTest::refuse;
      // WHEN
      follower.pollOnce();
      nowMs.addAndGet(WAIT_MS + 300);
      follower.pollOnce();
      // THEN
      assertThat(follower.overdueMs()).isEqualTo(300);
    }

    @Test
    void should_be_overdue_when_an_answer_was_on_its_way_for_long() throws InterruptedException {
      // GIVEN
      follower.pollOnce();
      store.answer =
          waitMs -> {
            nowMs.addAndGet(waitMs + 700);
            return new LogStore.ReadResult(false, 0, 0, List.of());
          };
      // WHEN
      follower.pollOnce();
      nowMs.addAndGet(WAIT_MS);
      // THEN: the store answered when the wait ended, not when the answer arrived
      assertThat(follower.overdueMs()).isEqualTo(700);
    }

    @Test
    void should_be_overdue_when_the_history_was_trimmed_and_cannot_be_loaded()
        throws InterruptedException {
      // GIVEN
      follower.pollOnce();
      store.answer = waitMs -> new LogStore.ReadResult(true, 8, 8, List.of());
      nowMs.addAndGet(WAIT_MS + 10_000);
      // WHEN
      follower.pollOnce();
      // THEN: the store answers, but not with what is missing
      assertThat(follower.unreachableMs()).isZero();
      assertThat(follower.overdueMs()).isEqualTo(10_000);
    }

    @Test
    void should_be_overdue_when_the_end_is_not_reached() throws InterruptedException {
      // GIVEN
      follower.pollOnce();
      store.answer = waitMs -> new LogStore.ReadResult(false, 0, 9, List.of());
      // WHEN
      nowMs.addAndGet(WAIT_MS + 400);
      follower.pollOnce();
      // THEN
      assertThat(follower.overdueMs()).isEqualTo(400);
    }
  }

  private static LogStore.ReadResult refuse(long waitMs) {
    throw new StoreUnavailableException("read: refused");
  }

  private static LogStore.ReadResult answerEmpty(long waitMs) {
    return new LogStore.ReadResult(false, 0, 0, List.of());
  }

  /**
   * An empty partition whose reads take as long as they may wait, unless the test says otherwise.
   */
  private final class ScriptedStore implements LogStore {
    private final List<Long> waitsMs = new ArrayList<>();
    private LongFunction<ReadResult> answer =
        waitMs -> {
          nowMs.addAndGet(waitMs);
          return answerEmpty(waitMs);
        };

    @Override
    public ReadResult read(Topic topic, int partition, long fromOffset, long waitMs) {
      waitsMs.add(waitMs);
      return answer.apply(waitMs);
    }

    @Override
    public LatestRecords readLatest(Topic topic, int partition) {
      return new LatestRecords(0, List.of());
    }

    @Override
    public AppendResult append(
        Topic topic, int partition, OptionalLong expectedEndOffset, List<KeyedRecord> records) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Membership join(String group, String member, Topic topic, long ttlMs, long generation) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void leave(String group, String member) {
      throw new UnsupportedOperationException();
    }
  }

  private static final class NoSink implements PartitionFollower.Sink {
    @Override
    public void reset() {}

    @Override
    public void apply(StoredRecord stored) {}
  }
}
