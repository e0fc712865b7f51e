package org.marigoldmill.server.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.submission.PartitionState;
import org.marigoldmill.schema.submission.ItemHeader;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RewardCall;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.lastbuild.LastBuild;
import org.marigoldmill.server.store.MemoryStore;
import org.marigoldmill.server.store.PartitionReplica;

/** Submissions that the last landed build and this one share. */
class SubmissionRecordsTest {
  private static final int PARTITIONS = 12;
  private static final int APPEND_BYTES = 1 << 20;
  private static final int CHUNK_BYTES = 1;
  private static final long TIMEOUT_MS = 1_000;
  private static final String OPEN = "open";
  private static final String ENDED = "ended";
  private static final String DELETED = "deleted";

  private MemoryStore ofLastBuild;

  private static Submission header(String id) {
    return Submission.newBuilder()
        .setId(id)
        .setOrganisation("organisation")
        .setHost("host")
        .setPath("/path")
        .setAcceptedAtMs(1_800_000_000_000L)
        .setStep(3)
        .setModel("m")
        .setMinVersion(2)
        .setWantedGroups(1)
        .setDueMs(7_500)
        .setGiveUpMs(12_000)
        .setMaxAttempts(4)
        .setWorkTokens(60)
        .setSingleVersion(true)
        .build();
  }

  private static RolloutItem item(String id) {
    return RolloutItem.newBuilder()
        .setId(id)
        .setPath("/item")
        .addHeaders(ItemHeader.newBuilder().setName("X-Model").setValue("m"))
        .setBody(ByteString.copyFromUtf8("prompt"))
        .setTokens(20)
        .setGroup("group")
        .setReward(
            RewardCall.newBuilder()
                .setId("reward")
                .setHost("host")
                .setPath("/score")
                .setBody(ByteString.copyFromUtf8("score")))
        .setWorkTokens(30)
        .setExpectedTokens(12)
        .build();
  }

  private static ItemResult result(String id) {
    return ItemResult.newBuilder()
        .setSubmissionId(id)
        .setItemId("one")
        .setCompleted(true)
        .setText("text")
        .addVersions(2)
        .setScore("0.5")
        .build();
  }

  private static SubmissionPartitions partitions(MemoryStore store) {
    return new SubmissionPartitions(store, PARTITIONS, APPEND_BYTES, Runnable::run, () -> 0);
  }

  private static void commit(
      SubmissionPartitions partitions, String id, PartitionReplica.Change change) {
    assertThat(partitions.replicaFor(id).commit(change, TIMEOUT_MS).join())
        .isEqualTo(PartitionReplica.Result.HOLDS);
  }

  private PartitionState read(String id) {
    PartitionReplica replica = partitions(ofLastBuild).replicaFor(id);
    assertThat(replica.follower().catchUp()).isTrue();
    return replica.state();
  }

  @BeforeEach
  void write() {
    MemoryStore written = new MemoryStore();
    SubmissionPartitions partitions = partitions(written);
    List<RolloutItem> items = List.of(item("one"), item("two"));
    for (String id : List.of(OPEN, ENDED, DELETED)) {
      commit(partitions, id, s -> s.acceptanceRecords(header(id), items, CHUNK_BYTES));
      commit(partitions, id, s -> s.resultRecords(result(id)));
    }
    commit(partitions, ENDED, s -> s.endRecords(ENDED));
    commit(partitions, DELETED, s -> s.deletionRecords(DELETED));
    ofLastBuild = LastBuild.assertReadAlike("submissions.txt", written);
  }

  @Nested
  class Read {
    @Test
    void should_continue_a_submission_when_the_last_build_has_accepted_it() {
      PartitionState state = read(OPEN);
      assertThat(state.submission(OPEN))
          .contains(header(OPEN).toBuilder().setItemCount(2).setChunkCount(2).build());
      assertThat(state.openItems(OPEN)).containsExactly(item("two"));
      assertThat(state.results(OPEN)).containsExactly(result(OPEN));
    }

    @Test
    void should_not_continue_a_submission_when_the_last_build_has_ended_or_deleted_it() {
      assertThat(read(ENDED).submission(ENDED).map(Submission::getEnded))
          .isEqualTo(Optional.of(true));
      assertThat(read(ENDED).openItems(ENDED)).isEmpty();
      assertThat(read(ENDED).results(ENDED)).containsExactly(result(ENDED));
      assertThat(read(DELETED).submission(DELETED)).isEmpty();
    }
  }
}
