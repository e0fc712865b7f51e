package org.marigoldmill.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
  private static final String REQUEST = "fingerprint";

  private final SuspectTable table = new SuspectTable();

  @Nested
  class Crashed {
    @Test
    void should_quarantine_when_a_second_upstream_crashes() {
      // GIVEN
      assertThat(table.crashed(REQUEST, "records-1", 0)).isFalse();
      // WHEN
      boolean quarantined = table.crashed(REQUEST, "records-2", 10);
      // THEN
      assertThat(quarantined).isTrue();
      assertThat(table.quarantined("other", 10)).isFalse();
    }

    @Test
    void should_not_quarantine_when_the_same_upstream_crashes_twice() {
      // GIVEN
      table.crashed(REQUEST, "records-1", 0);
      // WHEN
      boolean quarantined = table.crashed(REQUEST, "records-1", 10);
      // THEN
      assertThat(quarantined).isFalse();
    }

    @Test
    void should_end_the_quarantine_when_its_time_is_over() {
      // GIVEN
      table.crashed(REQUEST, "records-1", 0);
      table.crashed(REQUEST, "records-2", 0);
      // WHEN, THEN
      assertThat(table.quarantined(REQUEST, 600_000)).isTrue();
      assertThat(table.quarantined(REQUEST, 600_001)).isFalse();
    }
  }

  @Nested
  class Survived {
    @Test
    void should_clear_an_innocent_neighbour_when_it_is_answered_elsewhere() {
      // GIVEN
      table.crashed(REQUEST, "records-1", 0);
      // WHEN
      table.survived(REQUEST, 5);
      // THEN
      assertThat(table.crashed(REQUEST, "records-2", 10)).isFalse();
    }
  }

  @Nested
  class Merge {
    @Test
    void should_quarantine_when_two_processes_have_seen_one_crash_each() {
      // GIVEN
      SuspectTable peer = new SuspectTable();
      table.crashed(REQUEST, "records-1", 0);
      peer.crashed(REQUEST, "records-2", 0);
      // WHEN
      table.merge(peer.tell(5), 5);
      // THEN
      assertThat(table.quarantined(REQUEST, 5)).isTrue();
    }

    @Test
    void should_not_prolong_a_quarantine_when_peers_repeat_it() {
      // GIVEN
      SuspectTable peer = new SuspectTable();
      table.crashed(REQUEST, "records-1", 0);
      table.crashed(REQUEST, "records-2", 0);
      // WHEN
      peer.merge(table.tell(500_000), 500_000);
      table.merge(peer.tell(500_000), 500_000);
      // THEN
      assertThat(table.quarantined(REQUEST, 600_001)).isFalse();
      assertThat(peer.quarantined(REQUEST, 600_001)).isFalse();
    }
  }
}
