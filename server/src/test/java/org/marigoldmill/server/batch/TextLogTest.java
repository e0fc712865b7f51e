package org.marigoldmill.server.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.submission.GeneratedEvent;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.store.MemoryStore;

class TextLogTest {
  private static final int CALL_BYTES = 1 << 20;
  private static final long STOP_MS = 500;
  private static final Submission STEP =
      Submission.newBuilder().setId("s1").setModel("m").setMinVersion(2).build();

  private final MemoryStore store = new MemoryStore();
  private final AtomicLong nowMs = new AtomicLong();
  private final TextLog owner = log("one");
  private final TextLog next = log("two");

  private TextLog log(String process) {
    return new TextLog(
        store, process, m -> 0, CALL_BYTES, CALL_BYTES, STOP_MS, Runnable::run, nowMs::get);
  }

  private static ItemTask task(Submission submission, String body) {
    RolloutItem item =
        RolloutItem.newBuilder().setId("i").setBody(ByteString.copyFromUtf8(body)).build();
    return new ItemTask(submission, item, 0, true, 0);
  }

  private static ItemTask generated(long events) {
    return generated(2, events);
  }

  private static ItemTask generated(long version, long events) {
    ItemTask task = task(STEP, "body");
    task.text().startRun(version, "v1");
    extend(task, 1, events);
    return task;
  }

  private static void extend(ItemTask task, long first, long last) {
    LongStream.rangeClosed(first, last)
        .forEach(e -> task.text().append(new GeneratedEvent(e, "p" + e, OptionalLong.empty())));
  }

  private ItemTask takenOver(Submission submission, String body) {
    next.follow(List.of("m"));
    nowMs.addAndGet(STOP_MS);
    ItemTask task = task(submission, body);
    assertThat(next.prepare(task)).isTrue();
    return task;
  }

  @Nested
  class Prepare {
    @Test
    void should_let_an_item_go_on_from_what_its_former_owner_has_stored() {
      // GIVEN
      ItemTask task = generated(20);
      owner.storeDue(List.of(task));
      extend(task, 21, 40);
      owner.storeDue(List.of(task));
      // WHEN
      ItemTask resumed = takenOver(STEP, "body");
      // THEN
      assertThat(resumed.text().snapshot("")).isEqualTo(task.text().snapshot(""));
    }

    /** Such an item was resumed after its last event, again and again, and never finished. */
    @Test
    void should_tell_when_only_the_score_of_a_text_is_missing() {
      // GIVEN
      ItemTask task = generated(20);
      owner.storeDue(List.of(task));
      extend(task, 21, 21);
      task.text().markComplete();
      // WHEN
      owner.storeDue(List.of(task));
      // THEN
      assertThat(takenOver(STEP, "body").textComplete()).isTrue();
    }

    @Test
    void should_let_an_item_wait_while_its_former_owner_may_still_generate_it() {
      owner.storeDue(List.of(generated(20)));
      next.follow(List.of("m"));
      assertThat(next.prepare(task(STEP, "body"))).isFalse();
      assertThat(next.prepare(task(STEP, "other"))).isTrue();
    }

    /** Trainers choose the ids of items, so two items may have one. */
    @Test
    void should_not_use_the_text_of_another_item_with_the_same_id() {
      owner.storeDue(List.of(generated(20)));
      assertThat(takenOver(STEP, "other").generatedEvents()).isZero();
      Submission foreign = STEP.toBuilder().setOrganisation("other").build();
      assertThat(takenOver(foreign, "body").generatedEvents()).isZero();
    }

    @Test
    void should_not_use_a_text_when_the_step_needs_newer_weights() {
      owner.storeDue(List.of(generated(20)));
      Submission later = STEP.toBuilder().setMinVersion(3).build();
      assertThat(takenOver(later, "body").generatedEvents()).isZero();
    }
  }

  @Nested
  class StoreDue {
    @Test
    void should_delete_a_text_when_its_item_is_finished() {
      // GIVEN
      owner.storeDue(List.of(generated(20)));
      // WHEN
      owner.storeDue(List.of());
      // THEN
      assertThat(store.readLatest(TextLog.TOPIC, 0).records()).isEmpty();
    }

    /** ORDER: the stored text began with a run of an earlier step and went on with another one. */
    @Test
    void should_start_over_when_a_later_step_begins_the_text_anew() {
      // GIVEN
      owner.storeDue(List.of(generated(2, 20)));
      ItemTask later = generated(3, 40);
      // WHEN
      owner.storeDue(List.of(later));
      // THEN
      assertThat(store.readLatest(TextLog.TOPIC, 0).records()).hasSize(1);
      assertThat(takenOver(STEP, "body").text().snapshot("")).isEqualTo(later.text().snapshot(""));
    }

    @Test
    void should_start_over_when_the_text_is_discarded() {
      // GIVEN
      ItemTask task = generated(20);
      owner.storeDue(List.of(task));
      task.text().restart();
      task.text().startRun(3, "v2");
      extend(task, 1, 24);
      // WHEN
      owner.storeDue(List.of(task));
      // THEN
      assertThat(takenOver(STEP, "body").text().snapshot("")).isEqualTo(task.text().snapshot(""));
    }
  }
}
