package org.marigoldmill.core.submission;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Texts are generated in several runs whose bytes arrive in any pieces, end anywhere and now and
 * then leave an event out, against the oracle that a text has every event once and in order, and
 * names just the versions that made them.
 */
class GeneratedTextFuzzTest {
  private static final int TEXTS = 40;
  private static final int MOST_EVENTS = 30;
  private static final int MOST_PIECE_BYTES = 40;

  /** One text, the engines that generate it, and what it must become. */
  private static final class World {
    private final Random random;
    private final int events;
    private final GeneratedText text = new GeneratedText();
    private final TreeSet<Long> truth = new TreeSet<>();
    private long version = 1;
    private int runs;

    private World(Random random) {
      this.random = random;
      this.events = 1 + random.nextInt(MOST_EVENTS);
    }

    private boolean whole() {
      return text.lastEventId().orElse(0) == events;
    }

    /** One run of an engine, which goes on after the last event that it was told. */
    private void run() {
      runs++;
      version += random.nextInt(2);
      text.startRun(version);
      EventReader reader = new EventReader("weights");
      long next = text.lastEventId().orElse(0) + 1;
      byte[] bytes = stream(next).getBytes(UTF_8);
      int arrives = random.nextInt(3) == 0 ? bytes.length : random.nextInt(bytes.length + 1);
      for (int at = 0; at < arrives; ) {
        int piece = Math.min(arrives - at, 1 + random.nextInt(MOST_PIECE_BYTES));
        byte[] part = Arrays.copyOfRange(bytes, at, at + piece);
        at += piece;
        if (!take(reader, part)) {
          return;
        }
      }
    }

    /** Returns whether the run may go on. */
    private boolean take(EventReader reader, byte[] part) {
      for (GeneratedEvent event : reader.read(part, part.length)) {
        boolean follows = event.id() == text.lastEventId().orElse(0) + 1;
        try {
          text.append(event);
        } catch (IllegalArgumentException e) {
          assertThat(follows).as("event %d refused", event.id()).isFalse();
          return false;
        }
        truth.add(madeUnder(event));
      }
      return true;
    }

    private long madeUnder(GeneratedEvent event) {
      return Long.parseLong(event.data().substring(event.data().indexOf('@') + 1));
    }

    private String stream(long first) {
      StringBuilder stream = new StringBuilder();
      long present = version;
      for (long id = first; id <= events; id++) {
        boolean leftOut = id > first && random.nextInt(25) == 0;
        if (leftOut) {
          continue;
        }
        stream.append("id: ").append(id).append('\n');
        if (random.nextInt(10) == 0) {
          present++;
          stream.append("weights: ").append(present).append('\n');
        }
        stream.append("data: é").append(id).append('@').append(present);
        stream.append(random.nextBoolean() ? "\n\n" : "\r\n\r\n");
      }
      version = present;
      return stream.toString();
    }

    private String expected() {
      String[] lines = text.text().split("\n", -1);
      StringBuilder expected = new StringBuilder();
      for (int i = 1; i <= events; i++) {
        String made = i <= lines.length ? lines[i - 1].replaceAll("^.*@", "") : "none";
        expected.append(i > 1 ? "\n" : "").append('é').append(i).append('@').append(made);
      }
      return expected.toString();
    }
  }

  @Property(tries = 60, seed = "41")
  void should_have_every_event_once_when_runs_break_off_anywhere(@ForAll long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < TEXTS; i++) {
      World world = new World(random);
      while (!world.whole()) {
        world.run();
        assertThat(world.runs).isLessThan(1_000);
      }
      assertThat(world.text.text()).isEqualTo(world.expected());
      assertThat(world.text.versions()).containsExactlyElementsOf(world.truth);
    }
  }
}
