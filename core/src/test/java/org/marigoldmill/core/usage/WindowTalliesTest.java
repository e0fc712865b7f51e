package org.marigoldmill.core.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.usage.WindowTallies.Tally;

class WindowTalliesTest {
  private final WindowTallies tallies = new WindowTallies();

  @Nested
  class Add {
    @Test
    void should_count_a_tally_once_when_it_is_sent_again() {
      // GIVEN
      Tally tally = new Tally("a#1", 4, 7, Map.of("o", 3L));
      // WHEN
      boolean first = tallies.add(tally);
      boolean again = tallies.add(tally);
      // THEN
      assertThat(first).isTrue();
      assertThat(again).isFalse();
      assertThat(tallies.requests(7)).containsExactlyEntriesOf(Map.of("o", 3L));
    }

    @Test
    void should_sum_tallies_when_processes_and_numbers_differ() {
      tallies.add(new Tally("a#1", 4, 7, Map.of("o", 3L)));
      tallies.add(new Tally("a#1", 5, 7, Map.of("o", 1L)));
      tallies.add(new Tally("a#2", 4, 7, Map.of("o", 1L, "p", 2L)));
      assertThat(tallies.requests(7)).isEqualTo(Map.of("o", 5L, "p", 2L));
    }

    @Test
    void should_drop_the_oldest_windows_when_there_are_too_many() {
      for (long window = 0; window < 1_000; window++) {
        tallies.add(new Tally("a#1", window, window, Map.of("o", 1L)));
      }
      assertThat(tallies.requests(0)).isEmpty();
      assertThat(tallies.requests(999)).isNotEmpty();
    }
  }

  @Nested
  class Complete {
    @Test
    void should_be_complete_when_all_processes_of_the_previous_window_have_reported() {
      // GIVEN
      tallies.add(new Tally("a#1", 0, 6, Map.of()));
      tallies.add(new Tally("b#1", 0, 6, Map.of("o", 1L)));
      tallies.add(new Tally("a#1", 1, 7, Map.of("o", 1L)));
      // THEN
      assertThat(tallies.complete(7)).isFalse();
      // WHEN
      tallies.add(new Tally("b#1", 1, 7, Map.of()));
      // THEN
      assertThat(tallies.complete(7)).isTrue();
    }

    @Test
    void should_not_be_complete_when_the_previous_window_is_unknown() {
      tallies.add(new Tally("a#1", 1, 7, Map.of("o", 1L)));
      assertThat(tallies.complete(7)).isFalse();
    }
  }
}
