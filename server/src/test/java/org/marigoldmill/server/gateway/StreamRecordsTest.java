package org.marigoldmill.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.server.deployment.RegisteredEngine;
import org.marigoldmill.server.lastbuild.LastBuild;
import org.marigoldmill.server.store.MemoryStore;

/** Software versions of streams that the last landed build and this one share. */
class StreamRecordsTest {
  private static final String SERVICE = RegisteredEngine.SERVICE;
  private static final int PARTITIONS = 12;

  /** The last landed build neither reads nor writes it. */
  private static final String NEW_TOPIC = "stream-software";

  private final AtomicLong nowMs = new AtomicLong(10_000);

  private StreamOrigins origins(MemoryStore store) {
    StreamOrigins origins =
        new StreamOrigins(
            store,
            RegisteredEngine.registry(new EngineVersions()),
            () -> true,
            PARTITIONS,
            nowMs::incrementAndGet);
    origins.follower().catchUp();
    return origins;
  }

  @Test
  void should_go_on_at_the_version_that_the_last_build_recorded() {
    // GIVEN
    MemoryStore written = new MemoryStore();
    StreamOrigins writer = origins(written);
    writer.update(true);
    writer.follower().catchUp();
    assertThat(writer.recordBegin(SERVICE, "stream", "v2")).isTrue();
    // WHEN
    StreamOrigins reader =
        origins(LastBuild.assertReadAlike("streams.txt", written.withoutTopic(NEW_TOPIC)));
    // THEN
    assertThat(reader.begin(SERVICE, Optional.of("stream")).softwareVersion()).contains("v2");
    assertThat(reader.begin(SERVICE, Optional.of("other")).softwareVersion())
        .contains(RegisteredEngine.SOFTWARE);
  }
}
