package org.marigoldmill.core.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServiceVersionsTest {
  private static final String SERVICE = "s";

  @Nested
  class Fleet {
    private static final int INSTANCES = 300;
    private static final long STEP_MS = 500;

    /** Time by which an instance hears of a change later than the first one. */
    private static final int MAX_LAG_MS = 10_000;

    private record Stream(String version, boolean recorded, long begunAtMs) {}

    private record Change(Set<String> listed, long atMs) {}

    private final Random random = new Random(7);
    private final List<Change> changes = new ArrayList<>();
    private final List<Change> defaults = new ArrayList<>();
    private final List<ServiceVersions> instances = new ArrayList<>();
    private final List<Integer> lagsMs = new ArrayList<>();
    private final Map<Integer, Integer> seenDefaults = new HashMap<>();
    private final List<Stream> streams = new ArrayList<>();
    private int mixed;
    private int takenUp;
    private int continued;

    private Set<String> listed(int instance, long nowMs) {
      return changes.stream()
          .filter(c -> c.atMs() + lagsMs.get(instance) <= nowMs)
          .reduce((a, b) -> b)
          .map(Change::listed)
          .orElse(Set.of("v1"));
    }

    private void step(int i, long nowMs) {
      Set<String> listed = listed(i, nowMs);
      ServiceVersions versions = instances.get(i);
      versions.recordListed(SERVICE, listed, nowMs);
      for (int d = seenDefaults.getOrDefault(i, 0); d < defaults.size(); d++) {
        if (defaults.get(d).atMs() + lagsMs.get(i) / 2 <= nowMs) {
          versions.recordDefault(SERVICE, defaults.get(d).listed().iterator().next(), nowMs);
          seenDefaults.put(i, d + 1);
        }
      }
      if (i == 0) {
        String mostUsed = listed.stream().max(String::compareTo).orElseThrow();
        boolean published = defaults.size() > seenDefaults.getOrDefault(0, 0);
        versions
            .nextDefault(SERVICE, mostUsed, nowMs)
            .filter(v -> !published)
            .ifPresent(v -> defaults.add(new Change(Set.of(v), nowMs)));
      }
      List<String> choices = List.copyOf(listed);
      String version = choices.get(random.nextInt(choices.size()));
      streams.add(new Stream(version, versions.mustRecord(SERVICE, version, nowMs), nowMs));
    }

    private void takeUp(long nowMs) {
      for (int n = 0; n < 60; n++) {
        Stream stream = streams.get(Math.max(0, streams.size() - 1 - random.nextInt(20_000)));
        int at = random.nextInt(INSTANCES);
        if (nowMs - stream.begunAtMs() > ServiceVersions.MAX_STREAM_MS / 2) {
          continue;
        }
        ServiceVersions versions = instances.get(at);
        Optional<String> version =
            stream.recorded()
                ? Optional.of(stream.version())
                : versions.versionWithoutRecord(SERVICE);
        boolean served = version.filter(listed(at, nowMs)::contains).isPresent();
        boolean couldGoOn = listed(at, nowMs).contains(stream.version());
        mixed += served && !version.get().equals(stream.version()) ? 1 : 0;
        takenUp += couldGoOn ? 1 : 0;
        continued += couldGoOn && served ? 1 : 0;
      }
    }

    private void run(long fromMs, long toMs) {
      for (long now = fromMs; now < toMs; now += STEP_MS) {
        for (int i = 0; i < INSTANCES; i++) {
          step(i, now);
        }
        takeUp(now);
      }
    }

    @Test
    void should_agree_with_which_version_each_stream_began_while_versions_come_and_go() {
      // GIVEN
      for (int i = 0; i < INSTANCES; i++) {
        instances.add(new ServiceVersions(0));
        lagsMs.add(random.nextInt(MAX_LAG_MS));
      }
      changes.add(new Change(Set.of("v1", "v2"), 100_000));
      changes.add(new Change(Set.of("v2"), 130_000));
      changes.add(new Change(Set.of("v2", "v3"), 230_000));
      changes.add(new Change(Set.of("v1", "v2", "v3"), 260_000));
      changes.add(new Change(Set.of("v1"), 300_000));
      // WHEN
      run(0, 420_000);
      // THEN
      assertThat(mixed).isZero();
      assertThat(continued).isGreaterThan(takenUp * 9 / 10);
      assertThat(new HashSet<>(defaults)).hasSizeGreaterThan(2);
    }
  }

  @Nested
  class Records {
    private final ServiceVersions versions = new ServiceVersions(0);

    @Test
    void should_not_be_needed_for_the_default_once_all_instances_know_it() {
      versions.recordListed(SERVICE, Set.of("v1"), 1_000);
      versions.recordDefault(SERVICE, "v1", 1_000);
      assertThat(versions.mustRecord(SERVICE, "v1", 2_000)).isTrue();
      assertThat(versions.mustRecord(SERVICE, "v1", 100_000)).isFalse();
    }

    @Test
    void should_be_needed_without_a_default_but_not_keep_the_only_version_from_beginning() {
      versions.recordListed(SERVICE, Set.of("v1"), 1_000);
      assertThat(versions.mustRecord(SERVICE, "v1", 1_000)).isTrue();
      assertThat(versions.mayBeginUnrecorded(SERVICE, "v1")).isTrue();
    }

    /** Streams of an older version went on at the only one that was left after a restart. */
    @Test
    void should_not_be_replaced_by_the_only_version_listed_when_there_is_no_default() {
      versions.recordListed(SERVICE, Set.of("v2"), 1_000);
      assertThat(versions.versionWithoutRecord(SERVICE)).isEmpty();
    }

    @Test
    void should_not_be_left_out_before_the_engines_are_known() {
      versions.recordDefault(SERVICE, "v1", 1_000);
      assertThat(versions.mayBeginUnrecorded(SERVICE, "v2")).isFalse();
    }

    @Test
    void should_be_needed_for_a_version_beside_the_default() {
      versions.recordDefault(SERVICE, "v1", 1_000);
      versions.recordListed(SERVICE, Set.of("v1", "v2"), 100_000);
      assertThat(versions.mustRecord(SERVICE, "v2", 100_000)).isTrue();
      assertThat(versions.mayBeginUnrecorded(SERVICE, "v2")).isFalse();
      assertThat(versions.mustRecord(SERVICE, "v1", 100_000)).isFalse();
    }

    @Test
    void should_not_keep_streams_of_the_default_from_beginning_just_after_it_was_set() {
      versions.recordListed(SERVICE, Set.of("v1", "v2"), 1_000);
      assertThat(versions.mayBeginUnrecorded(SERVICE, "v1")).isFalse();
      versions.recordDefault(SERVICE, "v1", 1_000);
      assertThat(versions.mustRecord(SERVICE, "v1", 1_100)).isTrue();
      assertThat(versions.mayBeginUnrecorded(SERVICE, "v1")).isTrue();
    }

    @Test
    void should_not_keep_streams_from_beginning_when_only_the_newer_version_is_left() {
      versions.recordDefault(SERVICE, "v1", 1_000);
      versions.recordListed(SERVICE, Set.of("v2"), 100_000);
      assertThat(versions.mayBeginUnrecorded(SERVICE, "v2")).isTrue();
    }
  }
}
