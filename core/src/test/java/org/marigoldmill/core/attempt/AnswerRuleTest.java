package org.marigoldmill.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnswerRuleTest {
  @Nested
  class Of {
    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void should_withhold_when_the_status_promises_that_the_request_has_not_run(int status) {
      assertThat(AnswerRule.of(status, true)).isEqualTo(AnswerRule.WITHHOLD);
      assertThat(AnswerRule.of(status, false)).isEqualTo(AnswerRule.WITHHOLD);
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 401, 403, 404, 409, 413, 422, 499})
    void should_return_when_the_upstream_rejects_the_request(int status) {
      assertThat(AnswerRule.of(status, true)).isEqualTo(AnswerRule.RETURN);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 204, 299})
    void should_return_a_success_only_when_it_is_proven(int status) {
      assertThat(AnswerRule.of(status, true)).isEqualTo(AnswerRule.RETURN);
      assertThat(AnswerRule.of(status, false)).isEqualTo(AnswerRule.WITHHOLD);
    }

    @ParameterizedTest
    @ValueSource(ints = {301, 500, 502, 504})
    void should_prefer_another_attempt_when_the_upstream_fails(int status) {
      assertThat(AnswerRule.of(status, true)).isEqualTo(AnswerRule.RETURN_IF_LAST);
      assertThat(AnswerRule.of(status, false)).isEqualTo(AnswerRule.WITHHOLD);
    }
  }
}
