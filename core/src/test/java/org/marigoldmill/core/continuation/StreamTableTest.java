package org.marigoldmill.core.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StreamTableTest {
  private final StreamTable table = new StreamTable();

  @Nested
  class Version {
    /** A stream that a full table had dropped was resumed at the default version. */
    @Test
    void should_be_known_until_nobody_resumes_the_stream_however_many_follow() {
      table.put("first", "v2", 0);
      for (int i = 0; i < 30_000; i++) {
        table.put("later-" + i, "v3", 1);
      }
      assertThat(table.removeExpired(StreamTable.KEPT_MS)).isEmpty();
      assertThat(table.version("first")).hasValue("v2");
    }

    @Test
    void should_be_dropped_when_nobody_resumes_the_stream() {
      table.put("first", "v2", 0);
      table.put("second", "v2", 10);
      assertThat(table.removeExpired(StreamTable.KEPT_MS + 1)).containsExactly("first");
      assertThat(table.version("first")).isEmpty();
      assertThat(table.version("second")).hasValue("v2");
    }
  }
}
