package org.marigoldmill.server.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.supply.EngineDemandPlanner.Answer;
import org.marigoldmill.core.supply.EngineOrder;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.core.weights.LoadQueue;
import org.marigoldmill.server.deployment.DutyApi;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.FaultyStore;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.StoreUnavailableException;
import org.marigoldmill.server.store.Topic;

/** Usage is reported once for each window, complete and in time, despite failures of the store. */
class UsageReporterTest {
  private static final long WINDOW_MS = 5_000;
  private static final long REPORT_DEADLINE_MS = 10_000;
  private static final long ROUND_MS = 100;
  private static final long TTL_MS = 2_000;
  private static final int FAULT_PERCENT = 20;
  private static final int WINDOWS = 12;
  private static final int PROCESSES = 2;

  private final AtomicLong time = new AtomicLong(50 * WINDOW_MS);
  private final Map<Long, Map<String, Long>> expected = new TreeMap<>();
  private final Map<Long, Map<String, Long>> reports = new TreeMap<>();
  private final Map<Long, Long> reportedAt = new TreeMap<>();

  /** A process that counts usage and may hold the lease. */
  private final class CountingProcess {
    private final UsageCounter counter = new UsageCounter(WINDOW_MS, time::get);
    private final FleetLog fleet;
    private final DutyLeaseHolder lease;
    private final UsageReporter reporter;

    private CountingProcess(String name, LogStore store) {
      EngineVersions versions = new EngineVersions();
      UpstreamTable upstreams = UpstreamTable.with(new Random(1));
      fleet =
          new FleetLog(
              store,
              name,
              new EngineRegistry(null, upstreams, versions),
              versions,
              new LoadQueue(engines -> 1),
              () -> 0,
              time::get,
              time::get);
      lease = new DutyLeaseHolder(store, name, TTL_MS, 0, time::get);
      DutyApi api =
          new DutyApi() {
            @Override
            public boolean reportUsage(
                String holder, long epoch, long window, Map<String, Long> requests) {
              assertThat(reports.getOrDefault(window, requests))
                  .as("window %d", window)
                  .isEqualTo(requests);
              reports.put(window, requests);
              reportedAt.putIfAbsent(window, time.get());
              return true;
            }

            @Override
            public Answer orderEngines(
                String holder, long epoch, String service, EngineOrder order) {
              throw new AssertionError("unexpected order " + order);
            }
          };
      reporter =
          new UsageReporter(
              counter, fleet, lease, api, name, WINDOW_MS, REPORT_DEADLINE_MS, time::get);
    }

    private void count(String organisation) {
      counter.countStarted(organisation);
      expected
          .computeIfAbsent(time.get() / WINDOW_MS, w -> new TreeMap<>())
          .merge(organisation, 1L, Long::sum);
    }

    private void runPeriodicTasks() {
      lease.follower().catchUp();
      lease.claimIfDue();
      fleet.follower().catchUp();
      reporter.publishAndReportDue();
    }
  }

  /** A store with one log for each topic, which fails all calls while a flag is set. */
  private static final class OutageStore implements LogStore {
    private final FaultyStore leases;
    private final FaultyStore fleet;
    private final AtomicBoolean unavailable = new AtomicBoolean();

    private OutageStore(long seed, int faultPercent) {
      leases = new FaultyStore(seed, faultPercent);
      fleet = new FaultyStore(seed + 1, faultPercent);
    }

    private FaultyStore of(Topic topic) {
      return topic.equals(DutyLeaseHolder.TOPIC) ? leases : fleet;
    }

    @Override
    public AppendResult append(Topic topic, int part, OptionalLong end, List<KeyedRecord> records) {
      return unavailable.get()
          ? new AppendResult(AppendOutcome.UNKNOWN, -1)
          : of(topic).append(topic, part, end, records);
    }

    @Override
    public ReadResult read(Topic topic, int partition, long from, long waitMs) {
      if (unavailable.get()) {
        throw new StoreUnavailableException("simulated store outage");
      }
      return of(topic).read(topic, partition, from, waitMs);
    }

    @Override
    public LatestRecords readLatest(Topic topic, int partition) {
      if (unavailable.get()) {
        throw new StoreUnavailableException("simulated store outage");
      }
      return of(topic).readLatest(topic, partition);
    }

    @Override
    public Membership join(String group, String member, Topic topic, long ttlMs, long generation) {
      throw new StoreUnavailableException("not supported: consumer groups");
    }

    @Override
    public void leave(String group, String member) {}
  }

  private void advance(List<CountingProcess> processes) {
    time.addAndGet(ROUND_MS);
    processes.forEach(CountingProcess::runPeriodicTasks);
  }

  @Property(tries = 40, seed = "11")
  void should_report_every_request_once_when_appends_are_lost_delayed_or_unanswered(
      @ForAll long seed) {
    // GIVEN
    OutageStore store = new OutageStore(seed, FAULT_PERCENT);
    List<CountingProcess> processes = new ArrayList<>();
    for (int i = 0; i < PROCESSES; i++) {
      processes.add(new CountingProcess("p" + i, store));
    }
    // WHEN
    Random random = new Random(seed);
    long last = time.get() / WINDOW_MS + WINDOWS;
    while (time.get() / WINDOW_MS < last) {
      advance(processes);
      if (random.nextInt(3) == 0) {
        processes.get(random.nextInt(PROCESSES)).count("o" + random.nextInt(3));
      }
    }
    for (long until = time.get() + REPORT_DEADLINE_MS; time.get() < until; ) {
      advance(processes);
    }
    // THEN
    assertThat(expected).isNotEmpty();
    expected.forEach(
        (window, counts) ->
            assertThat(reports.get(window)).as("window %d", window).isEqualTo(counts));
  }

  @Nested
  class PublishAndReportDue {
    @Test
    void should_report_in_time_when_the_store_fails_soon_after_the_window() {
      // GIVEN
      OutageStore store = new OutageStore(1, 0);
      List<CountingProcess> processes =
          List.of(new CountingProcess("p0", store), new CountingProcess("p1", store));
      long window = time.get() / WINDOW_MS + 2;
      long end = (window + 1) * WINDOW_MS;
      while (time.get() < end + 1_500) {
        advance(processes);
        processes.forEach(p -> p.count("o"));
      }
      // WHEN: the outage lasts until the report deadline of the window
      store.unavailable.set(true);
      while (time.get() < end + REPORT_DEADLINE_MS) {
        advance(processes);
      }
      // THEN
      assertThat(reports.get(window)).isEqualTo(expected.get(window));
      assertThat(reportedAt.get(window)).isLessThanOrEqualTo(end + REPORT_DEADLINE_MS);
    }
  }

  @Nested
  class PublishAll {
    @Test
    void should_report_the_current_window_when_the_process_ends_in_it() {
      // GIVEN
      OutageStore store = new OutageStore(1, 0);
      CountingProcess stopping = new CountingProcess("p0", store);
      CountingProcess staying = new CountingProcess("p1", store);
      advance(List.of(stopping, staying));
      long window = time.get() / WINDOW_MS;
      stopping.count("o");
      // WHEN
      stopping.reporter.publishAll();
      while (time.get() < (window + 1) * WINDOW_MS + REPORT_DEADLINE_MS) {
        advance(List.of(staying));
      }
      // THEN
      assertThat(reports.get(window)).isEqualTo(Map.of("o", 1L));
    }
  }
}
