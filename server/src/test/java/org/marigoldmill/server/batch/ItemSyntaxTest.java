package org.marigoldmill.server.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marigoldmill.schema.submission.ItemHeader;
import org.marigoldmill.schema.submission.RewardCall;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

class ItemSyntaxTest {
  private static final String SMUGGLED = "a\r\nX-Tenant: other";

  private static RolloutItem.Builder item() {
    return RolloutItem.newBuilder()
        .setId("item")
        .setPath("/gen/1")
        .addHeaders(header("X-Note", "a"))
        .setReward(RewardCall.newBuilder().setId("reward").setHost("h").setPath("/app/score"));
  }

  private static ItemHeader.Builder header(String name, String value) {
    return ItemHeader.newBuilder().setName(name).setValue(value);
  }

  private static Stream<Consumer<RolloutItem.Builder>> smuggling() {
    return Stream.of(
        i -> i.setPath("/gen/" + SMUGGLED),
        i -> i.setPath("/gen/1 HTTP/1.1"),
        i -> i.setPath("gen"),
        i -> i.setId(SMUGGLED),
        i -> i.setId(""),
        i -> i.setId(" item"),
        i -> i.addHeaders(header("X-Other", SMUGGLED)),
        i -> i.addHeaders(header(SMUGGLED, "a")),
        i -> i.addHeaders(header("X-Tenant ", "other")),
        i -> i.addHeaders(header("", "a")),
        i -> i.getRewardBuilder().setPath("/app/" + SMUGGLED),
        i -> i.getRewardBuilder().setHost(SMUGGLED),
        i -> i.getRewardBuilder().setId(SMUGGLED));
  }

  @Nested
  class Violation {
    @Test
    void should_be_empty_when_the_item_can_be_sent() {
      assertThat(ItemSyntax.violation(item().build())).isEmpty();
      assertThat(ItemSyntax.violation(item().clearReward().build())).isEmpty();
    }
  }

  @ParameterizedTest
  @MethodSource("smuggling")
  void should_be_found_when_a_part_of_the_item_could_end_its_request(
      Consumer<RolloutItem.Builder> corrupt) {
    RolloutItem.Builder item = item();
    corrupt.accept(item);
    assertThat(ItemSyntax.violation(item.build())).isPresent();
  }

  /** Items that a former build has accepted may be in the store. */
  @Test
  void should_keep_a_task_from_starting_when_it_is_found() {
    Submission submission = Submission.getDefaultInstance();
    assertThat(new ItemTask(submission, item().build(), 0, false, 0).canStart(0)).isFalse();
    assertThat(new ItemTask(submission, item().build(), 0, true, 0).canStart(0)).isTrue();
  }
}
