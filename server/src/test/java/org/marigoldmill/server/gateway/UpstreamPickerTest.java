package org.marigoldmill.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.limit.WarmupTable;
import org.marigoldmill.core.limit.WarmupTolerance;
import org.marigoldmill.core.placement.AllowedZones;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.server.deployment.DeploymentCodec;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.gateway.UpstreamPicker.PickedUpstream;
import org.marigoldmill.server.store.StoredRecord;

class UpstreamPickerTest {
  /** Decodes every record as an engine whose id and zone are the key. */
  private static final class ZoneCodec implements DeploymentCodec {
    @Override
    public Optional<DeploymentConfig> decodeConfig(String key, byte[] value) {
      return Optional.empty();
    }

    @Override
    public Optional<AnnouncedVersion> decodeAnnouncedVersion(String key, byte[] value) {
      return Optional.empty();
    }

    @Override
    public Optional<String> decodeEvacuatedZone(String key) {
      return Optional.empty();
    }

    @Override
    public Optional<Engine> decodeEngine(String key, byte[] value) {
      return Optional.of(
          new Engine(key, 1, "s", "v1", "10.0.0.1:1", key, 1, false, false, Map.of(), 0));
    }
  }

  private final UpstreamTable upstreams = UpstreamTable.with(new Random(1));
  private final EngineRegistry registry =
      new EngineRegistry(new ZoneCodec(), upstreams, new EngineVersions());
  private final UpstreamPicker picker =
      new UpstreamPicker(
          registry,
          upstreams,
          new EngineLimits(
              "i",
              "i#1",
              new WarmupTable(s -> Optional.empty(), new WarmupTolerance(1.5, 5)),
              new Random(1),
              0),
          "a",
          () -> 0);

  @BeforeEach
  void listEngines() {
    registry.apply(new StoredRecord(0, "a", Optional.of(new byte[] {1})));
    registry.apply(new StoredRecord(1, "b", Optional.of(new byte[] {1})));
    registry.advanceTo(2);
  }

  private PickedUpstream pick() {
    return picker.pick("s", Urgency.CALL, e -> true, 0).picked().orElseThrow();
  }

  private static AllowedZones zones(String region) {
    return AllowedZones.of(Map.of("a", "near"), List.of(Set.of(region)));
  }

  @Test
  void should_give_up_an_upstream_that_is_evacuated_while_its_turn_is_awaited() {
    // GIVEN
    PickedUpstream first = pick();
    PickedUpstream waiting = new PickedUpstream(first.instance(), first.engine(), 1);
    // WHEN
    registry.setEvacuatedZones(Set.of("a"));
    // THEN
    assertThat(picker.awaitTurn(waiting)).isFalse();
    assertThat(upstreams.outstanding("a")).isZero();
    assertThat(pick().engine().zone()).isEqualTo("b");
  }

  @Test
  void should_tell_evacuated_zones_from_missing_upstreams() {
    assertThat(picker.unavailability("unknown", AllowedZones.ALL)).isEqualTo(ErrorKind.NO_UPSTREAM);
    registry.setEvacuatedZones(Set.of("a"));
    assertThat(picker.unavailability("s", AllowedZones.ALL)).isEqualTo(ErrorKind.NO_UPSTREAM);
    assertThat(picker.unavailability("s", zones("near"))).isEqualTo(ErrorKind.EVACUATED);
    assertThat(picker.unavailability("s", zones("far"))).isEqualTo(ErrorKind.REGION_UNAVAILABLE);
    registry.setEvacuatedZones(Set.of("a", "b"));
    assertThat(picker.unavailability("s", AllowedZones.ALL)).isEqualTo(ErrorKind.EVACUATED);
  }
}
