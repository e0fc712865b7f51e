package org.marigoldmill.cli.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestTimelineTest {
  private static LogLine line(long timestampMs, String instance, String message) {
    String json =
        "{\"timestamp\":%d,\"level\":\"INFO\",\"loggerName\":\"a.b.Gateway\",\"formattedMessage\":\"%s\"}";
    return LogLine.parse("file", "  20.01 " + instance + " " + json.formatted(timestampMs, message))
        .orElseThrow();
  }

  @Nested
  class Of {
    private final List<LogLine> lines =
        List.of(
            line(10_500, "two", "request id=r1 status=200 ms=480"),
            line(10_000, "one", "attempt lost id=r1 engine=e1 reason=CUT"),
            line(10_010, "one", "request id=r12 status=200"),
            line(8_000, "one", "dependency lost name=store topic=op"),
            line(8_100, "three", "dependency lost name=store topic=op"),
            line(9_000, "three", "engine gone id=e1 service=s"),
            line(9_000, "three", "engine gone id=e10 service=s"),
            line(1_000, "one", "dependency lost name=store topic=op"));

    @Test
    void should_return_lines_that_mention_the_id_ordered_by_time() {
      assertThat(RequestTimeline.of("r1", lines).matchingLines())
          .extracting(LogLine::message)
          .containsExactly(
              "attempt lost id=r1 engine=e1 reason=CUT", "request id=r1 status=200 ms=480");
    }

    @Test
    void should_return_events_of_involved_instances_and_engines_as_context() {
      assertThat(RequestTimeline.of("r1", lines).contextLines())
          .extracting(l -> l.instance() + ": " + l.message())
          .containsExactly(
              "one: dependency lost name=store topic=op", "three: engine gone id=e1 service=s");
    }

    @Test
    void should_be_empty_when_no_line_mentions_the_id() {
      assertThat(RequestTimeline.of("r", lines).allLines()).isEmpty();
    }
  }

  @Nested
  class Parse {
    @Test
    void should_take_the_instance_from_the_prefix_or_else_from_the_source() {
      String json = "{\"timestamp\":7,\"loggerName\":\"X\",\"formattedMessage\":\"m\"}";
      assertThat(LogLine.parse("one.log", json).orElseThrow().instance()).isEqualTo("one.log");
      assertThat(LogLine.parse("f", " 1.0 edge-a " + json).orElseThrow().instance())
          .isEqualTo("edge-a");
    }

    @Test
    void should_return_empty_when_text_is_not_a_log_line() {
      assertThat(LogLine.parse("f", "worth 0.6 = whole day")).isEmpty();
      assertThat(LogLine.parse("f", "{\"timestamp\":")).isEmpty();
      assertThat(LogLine.parse("f", "{\"a\":1}")).isEmpty();
    }
  }
}
