package org.marigoldmill.core.submission;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GeneratedTextTest {
  private static final String STREAM =
      "id: 1\ndata: one\n\nx-weight-versions: 8\nid: 2\ndata: two\n\nid: 3\r\ndata: three\r\n\r\n";

  @Nested
  class Read {
    @Property(tries = 200, seed = "7")
    void should_parse_the_same_events_when_bytes_are_split_anywhere(
        @ForAll @IntRange(min = 1, max = 40) int size) {
      // GIVEN
      EventReader reader = new EventReader("x-weight-versions");
      byte[] bytes = STREAM.getBytes(UTF_8);
      // WHEN
      List<GeneratedEvent> events = new ArrayList<>();
      for (int from = 0; from < bytes.length; from += size) {
        byte[] part = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + size));
        events.addAll(reader.read(part, part.length));
      }
      // THEN
      assertThat(events)
          .containsExactly(
              new GeneratedEvent(1, "one", OptionalLong.empty()),
              new GeneratedEvent(2, "two", OptionalLong.of(8)),
              new GeneratedEvent(3, "three", OptionalLong.empty()));
      assertThat(reader.hasPartialEvent()).isFalse();
    }

    @Test
    void should_drop_an_event_when_it_is_truncated() {
      EventReader reader = new EventReader("v");
      byte[] truncated = "id: 1\ndata: one\n\nid: 2\ndata: tw".getBytes(UTF_8);
      assertThat(reader.read(truncated, truncated.length)).hasSize(1);
      assertThat(reader.hasPartialEvent()).isTrue();
    }
  }

  @Nested
  class Append {
    @Test
    void should_list_every_version_that_generated_an_event_when_it_changes_during_a_run() {
      // GIVEN
      GeneratedText text = new GeneratedText();
      text.startRun(7, "v1");
      // WHEN
      text.append(new GeneratedEvent(1, "one", OptionalLong.empty()));
      text.append(new GeneratedEvent(2, "two", OptionalLong.of(8)));
      // THEN
      assertThat(text.versions()).containsExactly(7L, 8L);
      assertThat(text.text()).isEqualTo("one\ntwo");
    }

    @Test
    void should_not_list_the_version_of_a_run_that_generated_nothing() {
      GeneratedText text = new GeneratedText();
      text.startRun(7, "v1");
      text.startRun(8, "v1");
      text.append(new GeneratedEvent(1, "one", OptionalLong.empty()));
      assertThat(text.versions()).containsExactly(8L);
    }

    @Test
    void should_reject_an_event_when_it_is_repeated_or_one_before_it_is_missing() {
      GeneratedText text = new GeneratedText();
      text.append(new GeneratedEvent(4, "four", OptionalLong.empty()));
      assertThatThrownBy(() -> text.append(new GeneratedEvent(6, "six", OptionalLong.empty())))
          .hasMessageContaining("expected 5 but was 6");
      assertThatThrownBy(() -> text.append(new GeneratedEvent(4, "four", OptionalLong.empty())))
          .hasMessageContaining("expected 5 but was 4");
    }
  }
}
