package org.marigoldmill.server.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.limit.WarmupTable;
import org.marigoldmill.core.limit.WarmupTolerance;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.deployment.TextCodec;
import org.marigoldmill.server.store.StoredRecord;

class ColdUpstreamPickerTest {
  private static final long NOW_MS = 1_000_000;
  private static final int PICKS = 50;

  private final AtomicLong time = new AtomicLong(NOW_MS);
  private double coldPerSecond = 14;
  private final UpstreamTable upstreams = UpstreamTable.with(new Random(1));
  private final EngineRegistry registry =
      new EngineRegistry(new TextCodec(), upstreams, new EngineVersions());
  private final WarmupTable warmups =
      new WarmupTable(
          s -> Optional.of(new DeploymentConfig.Warmup(3_000, coldPerSecond)),
          new WarmupTolerance(1.5, 5));
  private final EngineLimits limits = new EngineLimits("a", "a#1", warmups, new Random(1), NOW_MS);
  private final UpstreamPicker picker =
      new UpstreamPicker(registry, upstreams, limits, "z", time::get);

  @BeforeEach
  void listEngines() {
    registry.addEntryListener(e -> warmups.recordEntry(e, NOW_MS, NOW_MS));
    for (String id : List.of("cold", "warm")) {
      registry.apply(new StoredRecord(0, id, Optional.of("7 ready".getBytes(UTF_8))));
    }
    registry.advanceTo(0);
    warmups.recordAnswer("cold", 7, 3_000, NOW_MS);
  }

  private UpstreamPicker.Pick pick() {
    return picker.pick("s", Urgency.CALL, e -> true, 100);
  }

  private Optional<String> picked(Predicate<Engine> eligible) {
    return picker.pick("s", Urgency.CALL, eligible, 0).picked().map(p -> p.engine().id());
  }

  @Test
  void should_pick_a_warm_upstream_while_there_is_one() {
    // GIVEN
    coldPerSecond = 1e6;
    assertThat(picked(e -> e.id().equals("cold"))).isEmpty();
    time.addAndGet(10);
    assertThat(picked(e -> e.id().equals("cold"))).contains("cold");
    // WHEN, THEN
    for (int i = 0; i < PICKS; i++) {
      time.addAndGet(10);
      assertThat(picked(e -> true)).contains("warm");
    }
  }

  @Test
  void should_neither_send_to_a_cold_upstream_nor_wait_for_it_without_a_turn() {
    // GIVEN
    limits.recordAnswer("warm", 7, OptionalDouble.of(0.2), NOW_MS);
    // WHEN
    List<UpstreamPicker.Pick> picks = List.of(pick(), pick(), pick());
    // THEN
    assertThat(picks).allMatch(p -> p.picked().isEmpty() && p.limited());
  }
}
