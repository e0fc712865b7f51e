package org.marigoldmill.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
  private static final String REQUEST = "fingerprint";

  private final SuspectTable table = new SuspectTable();

  @Nested
  class RecordCrash {
    @Test
    void should_quarantine_when_a_second_upstream_crashes() {
      // GIVEN
      assertThat(table.recordCrash(REQUEST, "records-1", 0)).isFalse();
      // WHEN
      boolean quarantined = table.recordCrash(REQUEST, "records-2", 10);
      // THEN
      assertThat(quarantined).isTrue();
      assertThat(table.isQuarantined("other", 10)).isFalse();
    }

    @Test
    void should_not_quarantine_when_the_same_upstream_crashes_twice() {
      // GIVEN
      table.recordCrash(REQUEST, "records-1", 0);
      // WHEN
      boolean quarantined = table.recordCrash(REQUEST, "records-1", 10);
      // THEN
      assertThat(quarantined).isFalse();
    }

    @Test
    void should_end_the_quarantine_when_its_time_is_over() {
      // GIVEN
      table.recordCrash(REQUEST, "records-1", 0);
      table.recordCrash(REQUEST, "records-2", 0);
      // WHEN, THEN
      assertThat(table.isQuarantined(REQUEST, 600_000)).isTrue();
      assertThat(table.isQuarantined(REQUEST, 600_001)).isFalse();
    }
  }

  @Nested
  class RecordSuccess {
    @Test
    void should_clear_the_suspicion_when_another_upstream_answers() {
      // GIVEN
      table.recordCrash(REQUEST, "records-1", 0);
      // WHEN
      table.recordSuccess(REQUEST, 5);
      // THEN
      assertThat(table.recordCrash(REQUEST, "records-2", 10)).isFalse();
    }
  }

  @Nested
  class Merge {
    @Test
    void should_quarantine_when_two_processes_have_seen_one_crash_each() {
      // GIVEN
      SuspectTable peer = new SuspectTable();
      table.recordCrash(REQUEST, "records-1", 0);
      peer.recordCrash(REQUEST, "records-2", 0);
      // WHEN
      table.merge(peer.recentSuspects(5), 5);
      // THEN
      assertThat(table.isQuarantined(REQUEST, 5)).isTrue();
    }

    @Test
    void should_not_prolong_a_quarantine_when_peers_repeat_it() {
      // GIVEN
      SuspectTable peer = new SuspectTable();
      table.recordCrash(REQUEST, "records-1", 0);
      table.recordCrash(REQUEST, "records-2", 0);
      // WHEN
      peer.merge(table.recentSuspects(500_000), 500_000);
      table.merge(peer.recentSuspects(500_000), 500_000);
      // THEN
      assertThat(table.isQuarantined(REQUEST, 600_001)).isFalse();
      assertThat(peer.isQuarantined(REQUEST, 600_001)).isFalse();
    }
  }
}
