package org.marigoldmill.server.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.MemoryStore;

class FleetLogTest {
  private static final int ALL = 20;

  private final MemoryStore store = new MemoryStore();

  private FleetLog log(String instance) {
    EngineVersions versions = new EngineVersions();
    return new FleetLog(
        store,
        instance,
        new EngineRegistry(null, UpstreamTable.with(new Random(1)), versions),
        versions,
        new LoadQueue(engines -> 1),
        () -> 0,
        () -> 0,
        () -> 0);
  }

  private static Submission submission(String id, String model) {
    return Submission.newBuilder().setId(id).setModel(model).build();
  }

  @Nested
  class LatestSubmissions {
    @Test
    void should_be_those_of_owned_models_that_any_instance_has_accepted_latest_first() {
      // GIVEN
      log("a").publishAccepted(submission("s1", "m"));
      log("b").publishAccepted(submission("s2", "other"));
      log("c").publishAccepted(submission("s3", "m"));
      log("a").publishAccepted(submission("s1", "m"));
      FleetLog owner = log("owner");
      // WHEN
      owner.follower().catchUp();
      // THEN
      assertThat(owner.latestSubmissions("m"::equals)).isEqualTo(List.of("s1", "s3"));
    }

    @Test
    void should_be_few_however_many_were_accepted() {
      // GIVEN
      for (int i = 0; i < ALL; i++) {
        log("a").publishAccepted(submission("s" + i, "m"));
      }
      FleetLog owner = log("owner");
      // WHEN
      owner.follower().catchUp();
      // THEN
      assertThat(owner.latestSubmissions(m -> true)).hasSizeLessThan(ALL).startsWith("s19", "s18");
    }
  }
}
