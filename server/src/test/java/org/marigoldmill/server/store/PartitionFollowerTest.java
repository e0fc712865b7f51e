package org.marigoldmill.server.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
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
