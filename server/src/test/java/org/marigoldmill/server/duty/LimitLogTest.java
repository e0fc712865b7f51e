package org.marigoldmill.server.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.limit.WarmupTable;
import org.marigoldmill.core.limit.WarmupTolerance;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.schema.fleet.LimitReport;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.FaultyStore;
import org.marigoldmill.server.store.StoredRecord;

/** Claims of turns at a cold engine, as they pass through the log. */
class LimitLogTest {
  private static final long READING_MS = 8_000;

  private final FaultyStore store = new FaultyStore(1, 0);
  private final AtomicLong time = new AtomicLong(1_000_000);
  private final WarmupTable warmups = warmups();
  private final EngineLimits limits = limits("a", warmups);
  private final LimitLog log = log("a", limits);

  private static WarmupTable warmups() {
    return new WarmupTable(
        s -> Optional.of(new DeploymentConfig.Warmup(60_000, 14)), new WarmupTolerance(1.5, 5));
  }

  private EngineLimits limits(String name, WarmupTable warmups) {
    return new EngineLimits(name, name + "#1", warmups, new Random(1), time.get());
  }

  private LimitLog log(String name, EngineLimits limits) {
    EngineRegistry registry =
        new EngineRegistry(null, UpstreamTable.with(new Random(1)), new EngineVersions());
    return new LimitLog(store, name, limits, registry, time::get, time::get);
  }

  /** Asks for turns until none is left, and publishes a claim for more. */
  private void claim() {
    time.addAndGet(READING_MS);
    Engine engine = new Engine("e", 7, "s", "v", "a:1", "z", 8, false, false, Map.of(), 60_000);
    warmups.recordEntry(engine, time.get(), time.get());
    for (int i = 0; i < 5; i++) {
      limits.tryAcquire("e", Urgency.BACKGROUND, time.get());
    }
    log.publishDue();
  }

  private List<StoredRecord> records() {
    return store.read(LimitLog.TOPIC, 0, 0, 0).records();
  }

  @Test
  void should_grant_the_turns_of_a_claim_once_its_author_has_read_it() {
    // GIVEN
    log.advanceTo(0);
    claim();
    assertThat(limits.tryAcquire("e", Urgency.BACKGROUND, time.get())).isFalse();
    // WHEN
    records().forEach(log::apply);
    // THEN
    assertThat(limits.tryAcquire("e", Urgency.BACKGROUND, time.get())).isTrue();
  }

  @Test
  void should_tell_other_instances_how_long_the_engine_stays_cold() {
    // GIVEN
    WarmupTable others = warmups();
    claim();
    // WHEN
    records().forEach(log("b", limits("b", others))::apply);
    // THEN
    assertThat(others.coldEngines(time.get() + 59_000)).containsExactly("e");
  }

  @Test
  void should_name_no_start_time_that_a_build_without_claims_could_find() throws Exception {
    // WHEN
    claim();
    // THEN
    StoredRecord last = records().get(records().size() - 1);
    LimitReport report = LimitReport.parseFrom(last.value().orElseThrow());
    assertThat(report.getEnginesList()).isNotEmpty().allMatch(e -> e.getIncarnation() < 0);
  }
}
