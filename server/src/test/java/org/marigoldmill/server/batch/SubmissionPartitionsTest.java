package org.marigoldmill.server.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.store.FaultyStore;
import org.marigoldmill.server.store.PartitionReplica;

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
}
