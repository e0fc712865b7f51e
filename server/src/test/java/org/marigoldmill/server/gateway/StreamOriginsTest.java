package org.marigoldmill.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.continuation.StreamTable;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.schema.fleet.DefaultSoftware;
import org.marigoldmill.server.deployment.RegisteredEngine;
import org.marigoldmill.server.store.MemoryStore;
import org.marigoldmill.server.store.Topic;

/** The only engine that is listed has version v1 of the software. */
class StreamOriginsTest {
  private static final String SERVICE = RegisteredEngine.SERVICE;
  private static final int PARTITIONS = 12;

  /** More than are removed from all partitions with one call each. */
  private static final int STREAMS = 9_000;

  private final AtomicLong nowMs = new AtomicLong(100_000);
  private final AtomicBoolean enginesCurrent = new AtomicBoolean(true);
  private final MemoryStore store = new MemoryStore();

  /** Creates the origins of an instance that has just started. */
  private StreamOrigins started() {
    StreamOrigins origins =
        new StreamOrigins(
            store,
            RegisteredEngine.registry(new EngineVersions()),
            enginesCurrent::get,
            PARTITIONS,
            nowMs::incrementAndGet);
    origins.update(false);
    return origins;
  }

  private Optional<String> resumedAt(StreamOrigins origins, String stream) {
    return origins.begin(SERVICE, Optional.of(stream)).softwareVersion();
  }

  @Nested
  class AfterAllInstancesWereKilled {
    @BeforeEach
    void publishDefault() {
      StreamOrigins holder = started();
      holder.follower().catchUp();
      holder.update(true);
      holder.follower().catchUp();
      assertThat(holder.recordBegin(SERVICE, "newer", "v2")).isTrue();
    }

    /** A stream of the version that had just left went on at the only one that was listed. */
    @Test
    void should_read_the_default_version_before_it_is_applied_to_a_stream() {
      byte[] left = DefaultSoftware.newBuilder().setSoftwareVersion("v0").build().toByteArray();
      KeyedRecord appended = new KeyedRecord(SERVICE, Optional.of(left));
      store.append(new Topic("software", true), 0, OptionalLong.empty(), List.of(appended));
      assertThat(resumedAt(started(), "older")).hasValue("v0");
      assertThat(resumedAt(started(), "newer")).hasValue("v2");
    }

    /** Streams of a newer version went on at the default one. */
    @Test
    void should_know_the_version_of_a_stream_when_the_store_has_forgotten_its_history() {
      store.forgetHistory();
      assertThat(resumedAt(started(), "newer")).hasValue("v2");
    }

    @Test
    void should_know_nothing_of_a_stream_when_the_engines_cannot_be_read() {
      enginesCurrent.set(false);
      assertThat(resumedAt(started(), "older")).isEmpty();
      assertThat(resumedAt(started(), "newer")).isEmpty();
    }
  }

  @Nested
  class WithoutDefault {
    @Test
    void should_not_take_the_version_listed_for_that_of_a_stream() {
      assertThat(resumedAt(started(), "older")).isEmpty();
    }

    @Test
    void should_record_streams_of_the_only_version() {
      assertThat(started().recordBegin(SERVICE, "first", "v1")).isTrue();
      assertThat(resumedAt(started(), "first")).hasValue("v1");
    }
  }

  @Nested
  class Removal {
    @Test
    void should_leave_no_record_that_nobody_needs_however_many_there_are() {
      // GIVEN
      StreamOrigins writer = started();
      IntStream.range(0, STREAMS).forEach(i -> writer.recordBegin(SERVICE, "stream-" + i, "v2"));
      StreamOrigins holder = started();
      holder.removeExpiredRecords();
      assertThat(storedRecords()).isEqualTo(STREAMS);
      // WHEN
      nowMs.addAndGet(StreamTable.KEPT_MS + STREAMS);
      holder.removeExpiredRecords();
      // THEN
      assertThat(storedRecords()).isZero();
    }

    private int storedRecords() {
      return IntStream.range(0, PARTITIONS)
          .map(p -> store.readLatest(new Topic("stream-software", true), p).records().size())
          .sum();
    }

    @Test
    void should_keep_records_while_streams_may_be_resumed_and_no_longer() {
      // GIVEN
      StreamOrigins holder = started();
      holder.recordBegin(SERVICE, "stream", "v2");
      holder.recordBegin(SERVICE, "x".repeat(1_000), "v2");
      holder.removeExpiredRecords();
      // WHEN, THEN
      nowMs.addAndGet(StreamTable.KEPT_MS - 1_000);
      holder.removeExpiredRecords();
      store.forgetHistory();
      assertThat(resumedAt(started(), "stream")).hasValue("v2");
      assertThat(resumedAt(started(), "x".repeat(1_000))).hasValue("v2");
      // WHEN, THEN
      nowMs.addAndGet(2_000);
      holder.removeExpiredRecords();
      assertThat(resumedAt(started(), "stream")).isEmpty();
      assertThat(resumedAt(started(), "x".repeat(1_000))).isEmpty();
    }
  }
}
