package org.marigoldmill.server.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.limit.WarmupTable;
import org.marigoldmill.core.limit.WarmupTolerance;
import org.marigoldmill.core.quarantine.SuspectTable;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.usage.WindowTallies;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.core.weights.WeightPlan;
import org.marigoldmill.schema.fleet.OrderedWeights;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.deployment.RegisteredEngine;
import org.marigoldmill.server.lastbuild.LastBuild;
import org.marigoldmill.server.store.MemoryStore;
import org.marigoldmill.server.store.StoredRecord;

/** Duties, usage and limits of engines that the last landed build and this one share. */
class DutyRecordsTest {
  private static final String ENGINE = RegisteredEngine.ID;
  private static final long INCARNATION = RegisteredEngine.INCARNATION;
  private static final long UNIX_MS = 1_800_000_000_000L;
  private static final long TTL_MS = 2_000;
  private static final long KEPT_MS = 500;
  private static final WeightPlan.Load LOAD = new WeightPlan.Load(ENGINE, "n", 8, true, true);

  /** An instance, and what it has read. */
  private static final class Instance {
    private final AtomicLong nowMs = new AtomicLong(10_000);
    private final EngineVersions versions = new EngineVersions();
    private final LoadQueue loads = new LoadQueue(engines -> 1);
    private final SuspectTable suspects = new SuspectTable();
    private final EngineLimits limits;
    private final FleetLog fleet;
    private final CrashLog crashes;
    private final LimitLog limitLog;
    private final DutyLeaseHolder lease;

    private Instance(String name, MemoryStore store) {
      EngineRegistry registry = RegisteredEngine.registry(versions);
      limits =
          new EngineLimits(
              name,
              name + "#1",
              new WarmupTable(service -> Optional.empty(), new WarmupTolerance(1.5, 5)),
              new Random(1),
              nowMs.get());
      fleet =
          new FleetLog(store, name, registry, versions, loads, () -> 0, () -> UNIX_MS, nowMs::get);
      crashes = new CrashLog(store, name, suspects, nowMs::get);
      limitLog = new LimitLog(store, name, limits, registry, () -> UNIX_MS, nowMs::get);
      lease = new DutyLeaseHolder(store, name, TTL_MS, 0, nowMs::get);
    }

    private void read() {
      assertThat(fleet.follower().catchUp()).isTrue();
      assertThat(crashes.follower().catchUp()).isTrue();
      assertThat(limitLog.follower().catchUp()).isTrue();
    }

    private void publishFleet() {
      Map<String, Long> counts = Map.of("organisation", 5L);
      fleet.publishTally(new WindowTallies.Tally("process", 3, 41, counts));
      fleet.publishSeal(40, counts);
      fleet.publishOrder(
          OrderedWeights.newBuilder()
              .setEngine(ENGINE)
              .setIncarnation(INCARNATION)
              .setModel("m")
              .setVersion(7)
              .build());
      fleet.publishWantedLoads(List.of(new FleetLog.WantedLoad(LOAD, INCARNATION)));
      fleet.publishItemsInProgress(List.of("submission/item"), UNIX_MS + KEPT_MS);
      crashes.publishCrash("fingerprint", "one");
      crashes.publishCrash("fingerprint", "two");
    }

    private void publishLimit(OptionalDouble limit) {
      nowMs.addAndGet(TTL_MS);
      limits.recordAnswer(ENGINE, INCARNATION, limit, nowMs.get());
      limits.tryAcquire(ENGINE, Urgency.CALL, nowMs.get());
      limits.tryAcquire(ENGINE, Urgency.BACKGROUND, nowMs.get());
      limitLog.publishDue();
    }

    /** Claims the lease if it is free; the longest stagger of claims passes first. */
    private boolean claim() {
      lease.follower().catchUp();
      nowMs.addAndGet(TTL_MS / 2);
      lease.follower().catchUp();
      lease.claimIfDue();
      return lease.remainsHeldFor(1);
    }
  }

  private MemoryStore ofLastBuild;

  @BeforeEach
  void write() {
    MemoryStore written = new MemoryStore();
    Instance writer = new Instance("writer", written);
    writer.publishFleet();
    writer.publishLimit(OptionalDouble.of(4));
    writer.publishLimit(OptionalDouble.empty());
    writer.limitLog.leave();
    assertThat(writer.claim()).isTrue();
    assertThat(writer.claim()).isTrue();
    writer.lease.release();
    ofLastBuild = LastBuild.assertReadAlike("duties.txt", written);
  }

  /** Returns a store with the first records of each topic that the last landed build wrote. */
  private MemoryStore first(String topic, int count) {
    MemoryStore store = new MemoryStore();
    ofLastBuild
        .records()
        .forEach(
            (partition, log) ->
                log.stream()
                    .limit(partition.topic().name().equals(topic) ? count : log.size())
                    .forEach(r -> append(store, partition, r)));
    return store;
  }

  private static void append(MemoryStore to, MemoryStore.Partition at, StoredRecord stored) {
    KeyedRecord appended = new KeyedRecord(stored.key(), stored.value());
    to.append(at.topic(), at.number(), OptionalLong.empty(), List.of(appended));
  }

  @Nested
  class Fleet {
    @Test
    void should_mean_the_same_usage_loads_and_items_when_the_last_build_wrote_them() {
      Instance reader = new Instance("reader", ofLastBuild);
      reader.read();
      assertThat(reader.fleet.tallies().requests(41)).isEqualTo(Map.of("organisation", 5L));
      assertThat(reader.fleet.sealedWindows()).isEqualTo(Map.of(40L, Map.of("organisation", 5L)));
      assertThat(reader.versions.targetVersion(ENGINE, "m", reader.nowMs.get())).isEqualTo(7);
      assertThat(reader.loads.startable(0, 1, reader.nowMs.get())).containsExactly(LOAD);
      assertThat(reader.fleet.isGeneratedElsewhere("submission/item")).isTrue();
      assertThat(reader.fleet.isGeneratedElsewhere("submission/other")).isFalse();
      assertThat(reader.suspects.isQuarantined("fingerprint", reader.nowMs.get())).isTrue();
    }
  }

  @Nested
  class Limits {
    @Test
    void should_hold_here_when_the_last_build_tells_of_them() {
      Instance reader = new Instance("reader", first("limits", 2));
      reader.read();
      assertThat(reader.limits.isLimited(ENGINE)).isTrue();
    }

    @Test
    void should_end_here_when_the_last_build_tells_that_they_are_lifted() {
      Instance reader = new Instance("reader", ofLastBuild);
      reader.read();
      assertThat(reader.limits.isLimited(ENGINE)).isFalse();
    }
  }

  @Nested
  class Lease {
    @Test
    void should_not_be_claimed_while_the_last_build_holds_it() {
      assertThat(new Instance("reader", first("duty-lease", 2)).claim()).isFalse();
    }

    @Test
    void should_be_claimed_when_the_last_build_has_released_it() {
      assertThat(new Instance("reader", ofLastBuild).claim()).isTrue();
    }
  }
}
