package org.marigoldmill.core.submission;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Generates texts in several runs, whose streams are split and truncated at random and sometimes
 * skip an event. Guards against lost, repeated or reordered events and against a wrong list of
 * versions.
 */
class GeneratedTextFuzzTest {
  private static final int TEXTS = 40;
  private static final int MAX_EVENTS = 30;
  private static final int MAX_PIECE_BYTES = 40;

  /** A text under test, the simulated engines that generate it, and the expected versions. */
  private static final class Simulation {
    private final Random random;
    private final int events;
    private final GeneratedText text = new GeneratedText();
    private final TreeSet<Long> expectedVersions = new TreeSet<>();
    private long version = 1;
    private int runs;

    private Simulation(Random random) {
      this.random = random;
      this.events = 1 + random.nextInt(MAX_EVENTS);
    }

    private boolean complete() {
      return text.lastEventId().orElse(0) == events;
    }

    /** Runs an engine, which continues after the last event of the text. */
    private void run() {
      runs++;
      version += random.nextInt(2);
      text.startRun(version, "v1");
      EventReader reader = new EventReader("weights");
      long next = text.lastEventId().orElse(0) + 1;
      byte[] bytes = eventsFrom(next).getBytes(UTF_8);
      int receivedBytes = random.nextInt(3) == 0 ? bytes.length : random.nextInt(bytes.length + 1);
      for (int at = 0; at < receivedBytes; ) {
        int piece = Math.min(receivedBytes - at, 1 + random.nextInt(MAX_PIECE_BYTES));
        byte[] part = Arrays.copyOfRange(bytes, at, at + piece);
        at += piece;
        if (!append(reader, part)) {
          return;
        }
      }
    }

    /**
     * Appends the events of a part; returns false if the run must stop because of a skipped event.
     */
    private boolean append(EventReader reader, byte[] part) {
      for (GeneratedEvent event : reader.read(part, part.length)) {
        boolean follows = event.id() == text.lastEventId().orElse(0) + 1;
        try {
          text.append(event);
        } catch (IllegalArgumentException e) {
          assertThat(follows)
              .as("event %d follows the last one but was rejected", event.id())
              .isFalse();
          return false;
        }
        expectedVersions.add(generatedUnder(event));
      }
      return true;
    }

    private long generatedUnder(GeneratedEvent event) {
      return Long.parseLong(event.data().substring(event.data().indexOf('@') + 1));
    }

    private String eventsFrom(long firstId) {
      StringBuilder stream = new StringBuilder();
      long current = version;
      for (long id = firstId; id <= events; id++) {
        boolean skipped = id > firstId && random.nextInt(25) == 0;
        if (skipped) {
          continue;
        }
        stream.append("id: ").append(id).append('\n');
        if (random.nextInt(10) == 0) {
          current++;
          stream.append("weights: ").append(current).append('\n');
        }
        stream.append("data: é").append(id).append('@').append(current);
        stream.append(random.nextBoolean() ? "\n\n" : "\r\n\r\n");
      }
      version = current;
      return stream.toString();
    }

    private String expectedText() {
      String[] lines = text.text().split("\n", -1);
      StringBuilder expected = new StringBuilder();
      for (int i = 1; i <= events; i++) {
        String generated = i <= lines.length ? lines[i - 1].replaceAll("^.*@", "") : "none";
        expected.append(i > 1 ? "\n" : "").append('é').append(i).append('@').append(generated);
      }
      return expected.toString();
    }
  }

  @Property(tries = 60, seed = "41")
  void should_contain_every_event_once_when_streams_are_truncated(@ForAll long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < TEXTS; i++) {
      Simulation simulation = new Simulation(random);
      while (!simulation.complete()) {
        simulation.run();
        assertThat(simulation.runs).isLessThan(1_000);
      }
      assertThat(simulation.text.text()).isEqualTo(simulation.expectedText());
      assertThat(simulation.text.versions()).containsExactlyElementsOf(simulation.expectedVersions);
    }
  }
}
