package org.marigoldmill.core.submission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

class PartitionStateTest {
  private static final int CHUNK_BYTES = 20;
  private static final Submission HEADER = Submission.newBuilder().setId("s").setModel("m").build();
  private static final List<RolloutItem> ITEMS = List.of(item("a"), item("b"), item("c"));

  private final PartitionState state = new PartitionState();

  @Nested
  class AcceptanceRecords {
    @Test
    void should_return_a_submission_only_when_all_its_parts_have_been_read() {
      // GIVEN
      List<KeyedRecord> records = state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES);
      assertThat(records.size()).isGreaterThan(2);
      // WHEN
      append(records.subList(0, records.size() - 1));
      // THEN
      assertThat(state.submission("s")).isEmpty();
      append(records.subList(records.size() - 1, records.size()));
      assertThat(state.submission("s").orElseThrow().getItemCount()).isEqualTo(3);
      assertThat(state.openItems("s")).isEqualTo(ITEMS);
    }

    @Test
    void should_return_no_records_when_the_submission_is_already_stored() {
      append(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES));
      assertThat(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES)).isEmpty();
    }

    @Test
    void should_return_no_records_when_the_submission_has_ended() {
      append(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES));
      append(state.endRecords("s"));
      assertThat(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES)).isEmpty();
      assertThat(state.submission("s").orElseThrow().getEnded()).isTrue();
    }
  }

  @Nested
  class ResultRecords {
    @Test
    void should_order_results_by_offset_when_items_finish_in_another_order() {
      // GIVEN
      append(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES));
      // WHEN
      append(state.resultRecords(result("c")));
      append(state.resultRecords(result("a")));
      // THEN
      assertThat(state.results("s")).extracting(ItemResult::getItemId).containsExactly("c", "a");
      assertThat(state.openItems("s")).containsExactly(item("b"));
    }

    @Test
    void should_return_no_records_when_the_item_has_a_result() {
      append(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES));
      append(state.resultRecords(result("a")));
      assertThat(state.resultRecords(result("a"))).isEmpty();
    }

    @Test
    void should_return_no_records_when_the_submission_has_ended() {
      append(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES));
      append(state.endRecords("s"));
      assertThat(state.resultRecords(result("a"))).isEmpty();
    }

    @Test
    void should_keep_the_first_result_when_a_second_one_is_applied() {
      append(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES));
      state.apply(90, SubmissionKey.result("s", "a").text(), bytes(result("a", "first")));
      state.apply(91, SubmissionKey.result("s", "a").text(), bytes(result("a", "second")));
      assertThat(state.results("s")).extracting(ItemResult::getText).containsExactly("first");
    }
  }

  @Nested
  class Contiguous {
    @Test
    void should_not_be_contiguous_when_a_record_beyond_the_next_offset_was_applied() {
      state.apply(7, SubmissionKey.result("s", "a").text(), bytes(result("a")));
      state.advance(5);
      assertThat(state.contiguous()).isFalse();
      state.advance(8);
      assertThat(state.contiguous()).isTrue();
    }
  }

  @Nested
  class DeletionRecords {
    @Test
    void should_delete_every_key_when_a_submission_is_deleted() {
      // GIVEN
      append(state.acceptanceRecords(HEADER, ITEMS, CHUNK_BYTES));
      append(state.resultRecords(result("a")));
      // WHEN
      append(state.deletionRecords("s"));
      // THEN
      assertThat(state.submission("s")).isEmpty();
      assertThat(state.results("s")).isEmpty();
      assertThat(state.submissions()).isEmpty();
    }
  }

  @Nested
  class EndedAcceptedBefore {
    @Test
    void should_return_only_ended_submissions_accepted_before_the_time() {
      // GIVEN
      append(
          state.acceptanceRecords(
              HEADER.toBuilder().setAcceptedAtMs(50).build(), ITEMS, CHUNK_BYTES));
      assertThat(state.endedAcceptedBefore(100)).isEmpty();
      // WHEN
      append(state.endRecords("s"));
      // THEN
      assertThat(state.endedAcceptedBefore(50)).isEmpty();
      assertThat(state.endedAcceptedBefore(51)).containsExactly("s");
    }
  }

  @Nested
  class Apply {
    @Test
    void should_name_the_key_when_it_is_malformed() {
      assertThatThrownBy(() -> state.apply(0, "x", Optional.empty()))
          .isInstanceOf(IllegalArgumentException.class)
          .hasMessageContaining("expected LETTER/ID/NAME but was x");
    }
  }

  private void append(List<KeyedRecord> records) {
    for (KeyedRecord keyed : records) {
      long offset = state.nextOffset();
      state.apply(offset, keyed.key(), keyed.value());
      state.advance(offset + 1);
    }
  }

  private static RolloutItem item(String id) {
    return RolloutItem.newBuilder().setId(id).setPath("/p/" + id).setGroup("g").build();
  }

  private static ItemResult result(String item) {
    return result(item, "text");
  }

  private static ItemResult result(String item, String text) {
    return ItemResult.newBuilder().setSubmissionId("s").setItemId(item).setText(text).build();
  }

  private static Optional<byte[]> bytes(ItemResult result) {
    return Optional.of(result.toByteArray());
  }
}
