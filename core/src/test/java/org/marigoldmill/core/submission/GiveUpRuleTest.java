package org.marigoldmill.core.submission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GiveUpRuleTest {

  @Nested
  class RewardAttemptsExhausted {
    @Test
    void should_retry_when_the_reward_route_allows_more_attempts_than_the_item_route() {
      assertThat(GiveUpRule.rewardAttemptsExhausted(3, 3, 4)).isFalse();
      assertThat(GiveUpRule.rewardAttemptsExhausted(4, 3, 4)).isTrue();
    }

    @Test
    void should_retry_when_the_item_route_allows_more_attempts_than_the_reward_route() {
      assertThat(GiveUpRule.rewardAttemptsExhausted(2, 3, 2)).isFalse();
    }
  }

  @Nested
  class ItemAttemptsExhausted {
    @Test
    void should_give_up_when_the_maximum_number_of_attempts_has_failed() {
      assertThat(GiveUpRule.itemAttemptsExhausted(2, 3)).isFalse();
      assertThat(GiveUpRule.itemAttemptsExhausted(3, 3)).isTrue();
    }
  }
}
