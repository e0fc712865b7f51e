package org.marigoldmill.core.submission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.schema.submission.TextPart;

class TextPartsTest {
  private final TextParts parts = new TextParts();

  private void add(String writer, int number, int start, String text, long lastEvent) {
    TextPart part =
        TextPart.newBuilder().setStart(start).setText(text).setLastEvent(lastEvent).build();
    parts.add(new TextPartKey("a", writer, number), part);
  }

  @Nested
  class Texts {
    @Test
    void should_join_the_parts_of_the_writer_that_got_furthest() {
      add("one", 0, 0, "x1", 1);
      add("two", 1, 2, "\ny2", 2);
      add("two", 0, 0, "y1", 1);
      assertThat(parts.texts().get("a").text()).isEqualTo("y1\ny2");
      assertThat(parts.texts().get("a").lastEventId()).isEqualTo(2);
    }

    @Test
    void should_end_before_a_part_that_is_missing() {
      add("one", 0, 0, "x1", 1);
      add("one", 2, 5, "\nx3", 3);
      assertThat(parts.texts().get("a").text()).isEqualTo("x1");
    }

    /** An append without an answer may take effect after the part was stored longer. */
    @Test
    void should_end_before_a_part_that_does_not_follow_an_older_state_of_the_one_before() {
      add("one", 0, 0, "x1", 1);
      add("one", 1, 5, "\nx3", 3);
      assertThat(parts.texts().get("a").lastEventId()).isEqualTo(1);
    }
  }

  @Nested
  class Key {
    @Test
    void should_be_read_as_it_was_written() {
      TextPartKey key = new TextPartKey("a", "edge/1#2.3", 4);
      assertThat(TextPartKey.parse(key.text())).contains(key);
    }

    @Test
    void should_be_refused_when_it_is_malformed() {
      assertThat(TextPartKey.parse("a/1")).isEmpty();
      assertThat(TextPartKey.parse("a/b/c")).isEmpty();
    }
  }
}
