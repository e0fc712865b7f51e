package org.marigoldmill.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WeightPlanTest {
  private static final String MODEL = "m";

  @Nested
  class Wanted {
    @Test
    void should_load_at_once_when_waiting_items_cannot_run_on_the_engine() {
      List<WeightPlan.Load> wanted =
          WeightPlan.requiredLoads(List.of(place("a", 3, 5), place("b", 4, 5)), demand(5, 4, 9));
      assertThat(wanted).containsExactly(new WeightPlan.Load("a", MODEL, 5, true, true));
    }

    @Test
    void should_load_nothing_when_waiting_items_can_run_on_every_engine() {
      assertThat(
              WeightPlan.requiredLoads(
                  List.of(place("a", 4, 0), place("b", 4, 0)), demand(5, 4, 9)))
          .isEmpty();
    }

    @Test
    void should_leave_one_engine_out_when_nothing_waits() {
      assertThat(
              WeightPlan.requiredLoads(
                  List.of(place("a", 4, 0), place("b", 4, 0)), demand(5, 0, 0)))
          .extracting(WeightPlan.Load::engine)
          .containsExactly("a");
    }

    @Test
    void should_load_the_only_engine_when_nothing_waits() {
      assertThat(WeightPlan.requiredLoads(List.of(place("a", 4, 0)), demand(5, 0, 0))).hasSize(1);
    }

    @Test
    void should_not_interrupt_an_engine_that_runs_items_when_nothing_waits() {
      assertThat(WeightPlan.requiredLoads(List.of(place("a", 4, 1)), demand(5, 0, 0))).isEmpty();
    }

    @Test
    void should_let_runs_finish_first_when_an_item_must_not_mix_versions() {
      WeightPlan.Demand single = new WeightPlan.Demand(MODEL, 5, 5, 1, true);
      assertThat(WeightPlan.requiredLoads(List.of(place("a", 4, 1)), single))
          .containsExactly(new WeightPlan.Load("a", MODEL, 5, true, false));
    }
  }

  @Nested
  class Startable {
    @Test
    void should_start_urgent_loads_first_when_only_one_may_start() {
      LoadQueue queue = new LoadQueue(2);
      queue.request(new WeightPlan.Load("idle", MODEL, 5, false, true), 0);
      queue.request(new WeightPlan.Load("urgent", MODEL, 5, true, true), 1);
      assertThat(queue.startable(1, 2))
          .extracting(WeightPlan.Load::engine)
          .containsExactly("urgent");
    }

    @Test
    void should_forget_a_wish_when_it_is_not_repeated() {
      LoadQueue queue = new LoadQueue(2);
      queue.request(new WeightPlan.Load("a", MODEL, 5, true, true), 0);
      assertThat(queue.startable(0, LoadQueue.REQUEST_TTL_MS + 1)).isEmpty();
    }
  }

  @Nested
  class Version {
    private final EngineVersions versions = new EngineVersions();

    @Test
    void should_count_an_accepted_order_as_carried_out_after_the_time_of_a_load() {
      versions.recordReportedVersion("e", MODEL, 1);
      versions.recordOrder("e", MODEL, 2, 0);
      assertThat(versions.loading("e", MODEL, 10)).isTrue();
      assertThat(versions.expectedVersion("e", MODEL, 10)).isEqualTo(1);
      assertThat(versions.expectedVersion("e", MODEL, EngineVersions.TYPICAL_LOAD_MS)).isEqualTo(2);
    }

    @Test
    void should_order_again_when_the_engine_never_shows_the_version() {
      versions.recordReportedVersion("e", MODEL, 1);
      versions.recordOrder("e", MODEL, 2, 0);
      assertThat(versions.targetVersion("e", MODEL, EngineVersions.ORDER_TIMEOUT_MS + 1))
          .isEqualTo(1);
    }

    @Test
    void should_not_be_loading_when_the_engine_shows_the_version() {
      versions.recordOrder("e", MODEL, 2, 0);
      versions.recordReportedVersion("e", MODEL, 2);
      assertThat(versions.loading("e", MODEL, 1)).isFalse();
    }
  }

  private static WeightPlan.EngineState place(String engine, long version, int running) {
    return new WeightPlan.EngineState(engine, version, false, running);
  }

  private static WeightPlan.Demand demand(long newest, long strictest, int waiting) {
    return new WeightPlan.Demand(MODEL, newest, strictest, waiting, false);
  }
}
