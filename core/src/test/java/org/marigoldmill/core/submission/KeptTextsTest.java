package org.marigoldmill.core.submission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KeptTextsTest {
  private final KeptTexts kept = new KeptTexts();

  private static TextSnapshot text(long events, Long... versions) {
    return new TextSnapshot(
        "x".repeat((int) events), events, List.of(versions), "v1", "llm", false);
  }

  @Nested
  class Take {
    @Test
    void should_return_the_longest_text_when_several_runs_have_left_one() {
      kept.keep("a", text(9, 3L), 0);
      kept.keep("a", text(7, 3L), 0);
      assertThat(kept.take("a", 3, false, 0)).contains(text(9, 3L));
      assertThat(kept.take("a", 3, false, 0)).isEmpty();
    }

    /** The first events of a text may be of a version that the next step does not accept. */
    @Test
    void should_return_nothing_when_a_version_of_the_text_is_too_old() {
      kept.keep("a", text(9, 2L, 3L), 0);
      assertThat(kept.take("a", 3, false, 0)).isEmpty();
      assertThat(kept.contains("a", 0)).isFalse();
    }

    @Test
    void should_return_nothing_when_versions_must_not_be_mixed() {
      kept.keep("a", text(9, 2L, 3L), 0);
      assertThat(kept.take("a", 2, true, 0)).isEmpty();
    }

    @Test
    void should_return_nothing_when_the_text_has_been_kept_for_too_long() {
      kept.keep("a", text(9, 2L), 0);
      assertThat(kept.contains("a", KeptTexts.KEPT_MS)).isTrue();
      assertThat(kept.take("a", 2, false, KeptTexts.KEPT_MS + 1)).isEmpty();
    }
  }

  @Nested
  class Keep {
    @Test
    void should_drop_the_oldest_texts_when_they_are_too_large_together() {
      long half = KeptTexts.MAX_CHARACTERS / 2;
      kept.keep("a", text(half, 2L), 0);
      kept.keep("b", text(half, 2L), 1);
      kept.keep("c", text(1, 2L), 2);
      assertThat(kept.contains("a", 2)).isFalse();
      assertThat(kept.contains("b", 2)).isTrue();
      assertThat(kept.contains("c", 2)).isTrue();
    }
  }
}
