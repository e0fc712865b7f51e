package org.marigoldmill.server.store;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.server.Metrics;

/** Tests that calls to the store appear in the metrics. */
class MeteredLogStoreTest {
  private static final Topic TOPIC = new Topic("submissions", true);

  @Test
  void should_count_calls_by_kind_and_topic() {
    // GIVEN
    Metrics metrics = new Metrics();
    LogStore store = new MeteredLogStore(new FaultyStore(1, 0), metrics::recordStoreCall);
    // WHEN
    store.append(
        TOPIC, 0, OptionalLong.empty(), List.of(new KeyedRecord("k", Optional.of(new byte[1]))));
    store.read(TOPIC, 0, 0, 0);
    store.read(TOPIC, 0, 1, 0);
    store.readLatest(TOPIC, 0);
    // THEN
    assertThat(new String(metrics.toPrometheusText(), UTF_8))
        .contains("marigoldmill_store_calls_total{kind=\"append\",name=\"submissions\"} 1.0")
        .contains("marigoldmill_store_calls_total{kind=\"read\",name=\"submissions\"} 2.0")
        .contains("marigoldmill_store_calls_total{kind=\"load\",name=\"submissions\"} 1.0");
  }
}
