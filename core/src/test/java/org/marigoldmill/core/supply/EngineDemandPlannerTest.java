package org.marigoldmill.core.supply;

import static java.util.stream.Collectors.groupingBy;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig.Autoscale;
import org.marigoldmill.core.supply.EngineDemandPlanner.Answer;

/** Engines are ordered for work that would be late, and only then, whatever the platform does. */
class EngineDemandPlannerTest {
  private static final long ROUND_MS = 250;
  private static final long STARTUP_MS = 4_000;
  private static final long IDLE_MS = EngineDemandPlanner.IDLE_STARTUPS * STARTUP_MS;
  private static final long RECLAIM_NOTICE_MS = 2_500;
  private static final Autoscale SCALE =
      new Autoscale(1, 6, STARTUP_MS, Map.of("a", 1.0, "b", 1.2, "c", 1.1), 0.4);
  private static final EnginePool SPOT_A = new EnginePool("a", true);

  private final Platform platform = new Platform();
  private EngineDemandPlanner planner = new EngineDemandPlanner();
  private double needed = 10;
  private long now;

  /** Engines of one service in virtual time; an order is answered, and maybe carried out later. */
  private final class Platform {
    private record Running(Engine engine, long servesAtMs) {}

    private record Late(EngineOrder order, long atMs) {}

    private final List<Running> engines = new ArrayList<>();
    private final List<EngineOrder> received = new ArrayList<>();
    private final List<Late> late = new ArrayList<>();
    private Function<EngineOrder, Answer> answers = o -> Answer.ACCEPTED;
    private long lateByMs;
    private int started;

    private void start(EnginePool pool, int count, long servesAtMs) {
      for (int i = 0; i < count; i++) {
        String address = "10.0.0." + started++ + ":80";
        engines.add(
            new Running(
                new Engine(
                    address,
                    1,
                    "s",
                    "v",
                    address,
                    pool.zone(),
                    6,
                    false,
                    pool.reclaimable(),
                    Map.of(),
                    0),
                servesAtMs));
      }
    }

    private Answer send(EngineOrder order) {
      received.add(order);
      Answer answer = answers.apply(order);
      if (answer != Answer.NONE_AVAILABLE) {
        late.add(new Late(order, now + lateByMs));
      }
      return answer;
    }

    private void carryOut(EngineOrder order) {
      List<Running> there =
          engines.stream().filter(r -> pool(r.engine()).equals(order.pool())).toList();
      start(order.pool(), order.desired() - there.size(), now + STARTUP_MS);
      there.stream().skip(order.desired()).forEach(engines::remove);
    }

    private List<Engine> registered() {
      late.stream().filter(l -> l.atMs() <= now).forEach(l -> carryOut(l.order()));
      late.removeIf(l -> l.atMs() <= now);
      return engines.stream().filter(r -> r.servesAtMs() <= now).map(Running::engine).toList();
    }

    private void reclaim(EnginePool pool) {
      engines.replaceAll(
          r -> pool(r.engine()).equals(pool) ? new Running(r.engine().asDraining(), 0) : r);
    }

    private void remove(EnginePool pool) {
      engines.removeIf(r -> pool(r.engine()).equals(pool));
    }

    private long serving() {
      return registered().stream().filter(e -> !e.draining()).count();
    }

    private long increases() {
      return received.stream().filter(o -> o.desired() > o.base()).count();
    }
  }

  private static EnginePool pool(Engine engine) {
    return new EnginePool(engine.zone(), engine.reclaimable());
  }

  /** Starts three engines on demand in each of three zones, and two reclaimable ones in one. */
  private void startDeployment() {
    List.of("a", "b", "c").forEach(z -> platform.start(new EnginePool(z, false), 3, 0));
    platform.start(SPOT_A, 2, 0);
    run(10_000, () -> needed);
  }

  private void run(long durationMs, DoubleSupplier need) {
    for (long endMs = now + durationMs; now < endMs; now += ROUND_MS) {
      planner.observe(platform.registered(), STARTUP_MS, now);
      planner.plan(SCALE, need.getAsDouble(), now);
      for (EngineOrder order : planner.due(now)) {
        planner.recordAnswer(order, platform.send(order), STARTUP_MS, now);
      }
    }
  }

  private void reclaimZone() {
    platform.reclaim(SPOT_A);
    run(RECLAIM_NOTICE_MS, () -> needed);
    platform.remove(SPOT_A);
  }

  @Nested
  class Reclaim {
    @Test
    void should_have_replacement_within_startup_time_when_zone_is_reclaimed() {
      // GIVEN
      needed = 11;
      startDeployment();
      // WHEN
      reclaimZone();
      run(STARTUP_MS - RECLAIM_NOTICE_MS + 2 * ROUND_MS, () -> needed);
      // THEN
      assertThat(platform.serving()).isEqualTo(11);
      assertThat(platform.received).noneMatch(o -> o.pool().equals(SPOT_A));
      assertThat(platform.received).noneMatch(o -> o.pool().reclaimable());
    }

    @Test
    void should_give_back_only_what_was_ordered_when_engines_return() {
      // GIVEN
      needed = 11;
      startDeployment();
      reclaimZone();
      run(9_000, () -> needed);
      // WHEN
      platform.start(SPOT_A, 2, now);
      run(2 * IDLE_MS, () -> needed);
      // THEN
      assertThat(platform.serving()).isEqualTo(11);
      assertThat(platform.received.stream().filter(o -> o.desired() == o.base())).isNotEmpty();
      assertThat(platform.received).allMatch(o -> o.desired() >= o.base());
    }

    @Test
    void should_order_nothing_when_remaining_engines_suffice() {
      // GIVEN
      needed = 9;
      startDeployment();
      // WHEN
      reclaimZone();
      run(30_000, () -> needed);
      // THEN
      assertThat(platform.received).isEmpty();
    }
  }

  @Nested
  class ClosedZone {
    @Test
    void should_order_nothing_in_a_zone_whose_engines_get_no_work() {
      // GIVEN
      EngineDemandPlanner planner = new EngineDemandPlanner();
      List<Engine> engines =
          List.of(engine("a1", "a"), engine("a2", "a"), engine("b1", "b"), engine("b2", "b"));
      planner.observe(engines, STARTUP_MS, 0);
      planner.plan(SCALE, 0, Set.of("a"), 0);
      // WHEN
      for (long at = 0; at <= 20_000; at += ROUND_MS) {
        planner.observe(engines, STARTUP_MS, at);
        planner.plan(SCALE, 6, Set.of("a"), at);
      }
      // THEN
      assertThat(planner.due(20_000)).isNotEmpty().allMatch(o -> o.pool().zone().equals("b"));
    }

    private static Engine engine(String id, String zone) {
      return new Engine(
          id, 1, "s", "v", "10.0.0." + id + ":80", zone, 6, false, false, Map.of(), 0);
    }
  }

  @Nested
  class Refusal {
    @Test
    void should_order_elsewhere_when_a_zone_has_none() {
      // GIVEN
      needed = 11;
      platform.answers = o -> o.pool().zone().equals("c") ? Answer.ACCEPTED : Answer.NONE_AVAILABLE;
      startDeployment();
      // WHEN
      reclaimZone();
      run(STARTUP_MS, () -> needed);
      // THEN
      assertThat(platform.serving()).isEqualTo(11);
    }

    @Test
    void should_ask_each_pool_rarely_when_none_are_available() {
      // GIVEN
      needed = 11;
      platform.answers = o -> Answer.NONE_AVAILABLE;
      startDeployment();
      // WHEN
      reclaimZone();
      run(40_000, () -> needed);
      // THEN
      assertThat(platform.received.stream().map(EngineOrder::pool).distinct()).hasSize(5);
      assertThat(platform.received).hasSizeLessThanOrEqualTo(5 * 5);
    }
  }

  @Nested
  class LostAnswer {
    @Test
    void should_repeat_the_same_number_until_answered() {
      // GIVEN
      platform.answers = o -> now < 16_000 ? Answer.UNKNOWN : Answer.ACCEPTED;
      startDeployment();
      // WHEN
      run(20_000, () -> 12);
      // THEN
      assertThat(platform.received.stream().distinct()).hasSize(1);
      assertThat(platform.received).hasSizeBetween(3, 8);
      assertThat(platform.serving()).isEqualTo(12);
    }

    @Test
    void should_end_with_engines_of_the_beginning_when_orders_act_late() {
      // GIVEN
      platform.answers = o -> Answer.UNKNOWN;
      platform.lateByMs = 6_000;
      startDeployment();
      run(12_000, () -> 13);
      platform.answers = o -> Answer.ACCEPTED;
      // WHEN
      run(4 * IDLE_MS, () -> needed);
      // THEN
      assertThat(platform.serving()).isEqualTo(11);
    }

    @Test
    void should_repeat_once_a_startup_time_at_most_when_never_answered() {
      // GIVEN
      platform.answers = o -> Answer.UNKNOWN;
      platform.lateByMs = 600_000;
      startDeployment();
      // WHEN
      run(15 * STARTUP_MS, () -> 12);
      // THEN
      assertThat(platform.received.stream().collect(groupingBy(EngineOrder::pool)).values())
          .allMatch(sent -> sent.size() <= 15 + 3);
    }

    @Test
    void should_order_again_when_accepted_engines_never_come() {
      // GIVEN
      startDeployment();
      platform.lateByMs = 600_000;
      // WHEN
      run(10_000, () -> 12);
      platform.lateByMs = 0;
      run(10_000, () -> 12);
      // THEN
      assertThat(platform.serving()).isEqualTo(12);
    }
  }

  @Nested
  class Succession {
    @Test
    void should_repeat_but_not_add_when_holder_ends_between_order_and_answer() {
      // GIVEN
      needed = 11;
      startDeployment();
      platform.reclaim(SPOT_A);
      planner.observe(platform.registered(), STARTUP_MS, now);
      planner.plan(SCALE, needed, now);
      List<EngineOrder> unsent = planner.due(now);
      // WHEN
      EngineDemandPlanner successor = new EngineDemandPlanner();
      for (EngineOrder known : planner.state()) {
        successor.adopt(known, now);
      }
      planner = successor;
      platform.remove(SPOT_A);
      run(12_000, () -> needed);
      // THEN
      assertThat(unsent).isNotEmpty();
      assertThat(platform.received).hasSameElementsAs(unsent);
      assertThat(platform.serving()).isEqualTo(11);
    }

    @Test
    void should_order_nothing_when_just_started() {
      // GIVEN
      platform.start(SPOT_A, 1, 0);
      // WHEN
      run(4_000, () -> 50);
      // THEN
      assertThat(platform.received).isEmpty();
    }
  }

  @Nested
  class Demand {
    @Test
    void should_order_nothing_when_present_engines_suffice() {
      // GIVEN
      startDeployment();
      // WHEN
      run(300_000, () -> now % 4_000 < 1_000 ? 11 : 0);
      // THEN
      assertThat(platform.received).isEmpty();
    }

    @Test
    void should_order_nothing_when_entries_are_missing_for_less_than_a_startup_time() {
      // GIVEN
      needed = 11;
      startDeployment();
      List<Platform.Running> before = List.copyOf(platform.engines);
      // WHEN
      platform.engines.clear();
      run(STARTUP_MS - ROUND_MS, () -> needed);
      platform.engines.addAll(before);
      run(30_000, () -> needed);
      // THEN
      assertThat(platform.received).isEmpty();
    }

    @Test
    void should_order_once_and_keep_when_demand_swings_with_the_steps() {
      // GIVEN
      startDeployment();
      // WHEN
      run(200_000, () -> now % 4_000 < 2_000 ? 14 : 4);
      // THEN
      assertThat(platform.serving()).isEqualTo(14);
      assertThat(platform.increases()).isEqualTo(platform.received.size()).isBetween(1L, 3L);
    }

    @Test
    void should_stay_within_bounds_of_each_zone_when_demand_has_no_limit() {
      // GIVEN
      startDeployment();
      // WHEN
      run(60_000, () -> 1_000);
      // THEN
      assertThat(platform.serving()).isEqualTo(3L * SCALE.max());
    }

    @Test
    void should_choose_cheapest_zone_among_those_with_fewest_engines() {
      // GIVEN
      startDeployment();
      // WHEN
      run(8_000, () -> 12);
      // THEN
      assertThat(platform.received)
          .extracting(EngineOrder::pool)
          .containsExactly(new EnginePool("c", true));
    }

    @Test
    void should_order_in_other_zones_when_a_zone_loses_its_engines_without_notice() {
      // GIVEN
      startDeployment();
      platform.engines.removeIf(r -> r.engine().zone().equals("c"));
      // WHEN
      run(2 * STARTUP_MS + 2 * ROUND_MS, () -> needed);
      // THEN
      assertThat(platform.serving()).isEqualTo(10);
      assertThat(platform.received).noneMatch(o -> o.pool().zone().equals("c"));
    }

    @Test
    void should_take_away_no_engine_that_others_added() {
      // GIVEN
      startDeployment();
      run(12_000, () -> 12);
      EnginePool ordered = platform.received.get(0).pool();
      platform.start(ordered, 2, now);
      // WHEN
      run(3 * IDLE_MS, () -> 1);
      // THEN
      assertThat(platform.serving()).isEqualTo(14);
    }

    @Test
    void should_count_engines_that_crashed_when_ordering_more() {
      // GIVEN
      startDeployment();
      platform.answers = o -> o.pool().reclaimable() ? Answer.NONE_AVAILABLE : Answer.ACCEPTED;
      platform.engines.removeIf(r -> !r.engine().reclaimable());
      // WHEN
      run(IDLE_MS / 2, () -> 12);
      // THEN
      assertThat(platform.received)
          .filteredOn(o -> !o.pool().reclaimable())
          .isNotEmpty()
          .allMatch(o -> o.desired() > 3);
    }
  }

  @Nested
  class Cost {
    @Test
    void should_plan_in_less_than_a_hundredth_of_a_processor_when_2000_engines_serve() {
      // GIVEN
      List<Engine> engines =
          IntStream.range(0, 2_000)
              .mapToObj(
                  i ->
                      new Engine(
                          "e" + i,
                          1,
                          "s",
                          "v",
                          "10.0." + i / 250 + "." + i % 250 + ":80",
                          "zone" + i % 24,
                          6,
                          false,
                          i % 2 == 0,
                          Map.of(),
                          0))
              .toList();
      Autoscale scale = new Autoscale(1, 200, STARTUP_MS, Map.of(), 0.5);
      int rounds = 400;
      // WHEN
      long startedNs = System.nanoTime();
      for (int i = 0; i < rounds; i++) {
        planner.observe(engines, STARTUP_MS, i * ROUND_MS);
        planner.plan(scale, 1_900 + i % 200, i * ROUND_MS);
        planner.due(i * ROUND_MS);
      }
      double msPerRound = (System.nanoTime() - startedNs) / 1e6 / rounds;
      // THEN
      assertThat(msPerRound).isLessThan(ROUND_MS / 100.0);
    }
  }
}
