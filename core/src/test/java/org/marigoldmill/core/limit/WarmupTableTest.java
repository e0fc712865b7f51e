package org.marigoldmill.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;

class WarmupTableTest {
  private static final long STARTED_UNIX_MS = 5_000_000;

  private final WarmupTable warmups =
      new WarmupTable(
          service ->
              service.equals("s")
                  ? Optional.of(new DeploymentConfig.Warmup(3_000, 14))
                  : Optional.empty(),
          new WarmupTolerance(1.5, 5));

  private static Engine engine(String service, long incarnation, long warmupLeftMs) {
    return new Engine(
        "e", incarnation, service, "v1", "a:1", "z", 8, false, false, Map.of(), warmupLeftMs);
  }

  private void read(long warmupLeftMs, long nowMs) {
    warmups.recordEntry(engine("s", STARTED_UNIX_MS, warmupLeftMs), STARTED_UNIX_MS + 1_000, nowMs);
  }

  private boolean cold(long nowMs) {
    return warmups.requestsPerSecond("e", nowMs).isPresent();
  }

  @Test
  void should_be_cold_for_the_time_that_the_entry_names() {
    read(500, 100);
    assertThat(cold(599)).isTrue();
    assertThat(cold(600)).isFalse();
    assertThat(warmups.requestsPerSecond("e", 599)).hasValue(14);
  }

  @Test
  void should_be_cold_for_the_duration_after_the_start_when_the_first_entry_says_nothing() {
    read(-1, 100);
    assertThat(cold(2_099)).isTrue();
    read(-1, 2_000);
    assertThat(cold(2_100)).isFalse();
  }

  @Test
  void should_be_warm_when_the_first_entry_says_so_or_the_service_has_no_warmup() {
    read(0, 100);
    assertThat(cold(100)).isFalse();
    warmups.recordEntry(engine("other", STARTED_UNIX_MS + 1, 500), STARTED_UNIX_MS, 100);
    assertThat(cold(100)).isFalse();
  }

  @Test
  void should_stay_cold_when_a_later_entry_says_less_and_longer_when_it_says_more() {
    read(500, 100);
    read(0, 200);
    assertThat(cold(599)).isTrue();
    read(900, 300);
    assertThat(cold(1_199)).isTrue();
  }

  @Test
  void should_become_cold_again_and_warm_early_when_answers_say_so() {
    read(0, 100);
    warmups.recordAnswer("e", STARTED_UNIX_MS, 700, 1_000);
    assertThat(warmups.coldEngines(1_001)).containsExactly("e");
    warmups.recordAnswer("e", STARTED_UNIX_MS, 0, 1_100);
    assertThat(warmups.coldEngines(1_101)).isEmpty();
  }

  @Test
  void should_ignore_answers_of_an_earlier_incarnation() {
    read(500, 100);
    warmups.recordAnswer("e", STARTED_UNIX_MS - 1, 0, 200);
    assertThat(cold(300)).isTrue();
  }

  @Test
  void should_not_pass_on_what_other_instances_have_told() {
    read(0, 100);
    warmups.recordTold("e", STARTED_UNIX_MS, 400, 200);
    assertThat(cold(599)).isTrue();
    assertThat(warmups.heardLeftMs("e", 300)).isZero();
  }
}
