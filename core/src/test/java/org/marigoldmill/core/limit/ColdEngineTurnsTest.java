package org.marigoldmill.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Several hundred instances that meet one engine while it is cold, in virtual time. */
class ColdEngineTurnsTest {
  private static final int INSTANCES = 300;
  private static final int SEEDS = 5;
  private static final long COLD_MS = 12_000;
  private static final double COLD_S = COLD_MS / 1e3;

  /** Time after which an instance has read enough of the log to claim turns, in seconds. */
  private static final double SETTLE_S = 8;

  /** Time in which the entry of an engine reaches all instances, in milliseconds. */
  private static final int LEARN_MS = 300;

  private static int tolerated(double requestsPerSecond) {
    return (int) Math.floor(1.5 * requestsPerSecond + 5);
  }

  private static SimulatedFleet fleet(long seed, double callsPerSecond, double ownersPerSecond) {
    SimulatedFleet fleet = new SimulatedFleet(INSTANCES, seed);
    fleet.instances.forEach(i -> i.callsPerSecond = callsPerSecond / INSTANCES);
    fleet.instances.subList(0, 2).forEach(i -> i.backgroundPerSecond = ownersPerSecond / 2);
    return fleet;
  }

  @ParameterizedTest
  @CsvSource({
    "14, 300, 0",
    "14, 0, 300",
    "14, 60, 60",
    "14, 3000, 200",
    "14, 2, 2",
    "2, 300, 100",
    "0.5, 300, 100",
    "60, 3000, 400"
  })
  void should_keep_the_bound_in_any_second_when_an_engine_becomes_cold_under_load(
      double rate, double calls, double owners) {
    for (int seed = 0; seed < SEEDS; seed++) {
      // GIVEN
      SimulatedFleet fleet = fleet(seed, calls, owners);
      fleet.run(SETTLE_S);
      // WHEN
      fleet.startCounting();
      fleet.becomeCold(rate, COLD_MS, LEARN_MS);
      fleet.run(COLD_S);
      // THEN
      assertThat(fleet.mostWithin(1_000)).isLessThanOrEqualTo(tolerated(rate));
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {2, 14, 60})
  void should_keep_the_bound_when_half_of_the_instances_never_reach_the_log(double rate) {
    for (int seed = 0; seed < SEEDS; seed++) {
      // GIVEN
      SimulatedFleet fleet = fleet(seed, 3_000, 200);
      fleet.instances.subList(INSTANCES / 2, INSTANCES).forEach(i -> i.cut(true));
      fleet.run(SETTLE_S);
      // WHEN
      fleet.startCounting();
      fleet.becomeCold(rate, COLD_MS, LEARN_MS);
      fleet.run(COLD_S);
      // THEN
      assertThat(fleet.mostWithin(1_000)).isLessThanOrEqualTo(tolerated(rate));
    }
  }

  @Test
  void should_keep_the_bound_when_the_log_falls_silent_while_the_engine_is_cold() {
    for (int seed = 0; seed < SEEDS; seed++) {
      // GIVEN
      SimulatedFleet fleet = fleet(seed, 3_000, 200);
      fleet.run(SETTLE_S);
      fleet.startCounting();
      fleet.becomeCold(14, COLD_MS, LEARN_MS);
      fleet.run(COLD_S / 3);
      // WHEN
      fleet.logSilent(true);
      fleet.run(COLD_S / 3);
      fleet.logSilent(false);
      fleet.run(COLD_S / 3);
      // THEN
      assertThat(fleet.mostWithin(1_000)).isLessThanOrEqualTo(tolerated(14));
      assertThat(fleet.sent()).isPositive();
    }
  }

  @Test
  void should_keep_the_bound_when_the_engine_becomes_cold_again_and_the_load_moves() {
    for (int seed = 0; seed < SEEDS; seed++) {
      // GIVEN
      SimulatedFleet fleet = fleet(seed, 100, 100);
      fleet.run(SETTLE_S);
      fleet.startCounting();
      fleet.becomeCold(14, COLD_MS / 4, LEARN_MS);
      fleet.run(COLD_S / 4 - 0.5);
      // WHEN
      fleet.becomeCold(14, COLD_MS, LEARN_MS);
      fleet.instances.subList(0, 2).forEach(i -> i.backgroundPerSecond = 0);
      fleet.instances.subList(200, 210).forEach(i -> i.backgroundPerSecond = 20);
      fleet.run(COLD_S);
      // THEN
      assertThat(fleet.mostWithin(1_000)).isLessThanOrEqualTo(tolerated(14));
    }
  }

  @ParameterizedTest
  @CsvSource({"14, 0, 300", "14, 60, 60", "14, 300, 60", "60, 60, 300"})
  void should_use_half_of_the_rate_when_owners_of_models_have_the_demand(
      double rate, double calls, double owners) {
    int sent = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedFleet fleet = fleet(seed, calls, owners);
      fleet.run(SETTLE_S);
      fleet.becomeCold(rate, COLD_MS, LEARN_MS);
      fleet.run(LEARN_MS / 1e3);
      fleet.startCounting();
      fleet.run(COLD_S - 1);
      sent += fleet.sent();
    }
    assertThat(sent).isGreaterThan((int) (0.5 * rate * (COLD_S - 1) * SEEDS));
  }

  @Test
  void should_serve_most_of_a_demand_far_below_the_rate_when_its_owner_tries_again() {
    // GIVEN
    SimulatedFleet fleet = fleet(1, 0, 0);
    fleet.run(SETTLE_S);
    fleet.becomeCold(14, COLD_MS, LEARN_MS);
    fleet.run(LEARN_MS / 1e3);
    fleet.startCounting();
    // WHEN
    fleet.instances.get(0).backgroundPerSecond = 25;
    fleet.run(1);
    // THEN
    assertThat(fleet.sent()).isGreaterThanOrEqualTo(3);
  }

  @Test
  void should_send_everything_once_the_engine_is_warm() {
    // GIVEN
    SimulatedFleet fleet = fleet(1, 300, 100);
    fleet.run(SETTLE_S);
    fleet.becomeCold(14, COLD_MS, LEARN_MS);
    fleet.run(COLD_S + 0.5);
    fleet.startCounting();
    // WHEN
    fleet.run(2);
    // THEN
    assertThat(fleet.refusedCalls()).isZero();
  }
}
