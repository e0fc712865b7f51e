package org.marigoldmill.core.submission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GiveUpRuleTest {

  @Nested
  class RewardFailed {
    @Test
    void should_go_on_when_the_route_of_the_call_allows_more_attempts_than_that_of_the_item() {
      assertThat(GiveUpRule.rewardAttemptsExhausted(3, 3, 4)).isFalse();
      assertThat(GiveUpRule.rewardAttemptsExhausted(4, 3, 4)).isTrue();
    }

    @Test
    void should_go_on_when_the_route_of_the_item_allows_more_attempts_than_that_of_the_call() {
      assertThat(GiveUpRule.rewardAttemptsExhausted(2, 3, 2)).isFalse();
    }
  }

  @Nested
  class ItemFailed {
    @Test
    void should_give_up_when_every_allowed_run_has_failed() {
      assertThat(GiveUpRule.itemAttemptsExhausted(2, 3)).isFalse();
      assertThat(GiveUpRule.itemAttemptsExhausted(3, 3)).isTrue();
    }
  }
}
