package org.marigoldmill.core.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.statistics.Statistics;
import org.marigoldmill.core.config.LogReducer;
import org.marigoldmill.schema.log.LeaseRelease;
import org.marigoldmill.schema.log.LeaseState;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.log.Snapshot;

/**
 * Runs several electors of one lease over one log, with lost and delayed appends, slow readers,
 * pauses and restarts, and checks that at most one process holds the lease at any time.
 */
class LeaseElectorFuzzTest {
  private static final String SCOPE = "ordering/a";
  private static final int STEPS = 600;
  private static final int TRIES = 25;
  private static final int MIN_TRIES_WITH_HOLDER_PERCENT = 80;
  private static final int NODES = 4;
  private static final long TTL_MS = 1_000;
  private static final long GUARD_MS = 50;

  /** A process that has read a prefix of the log; it takes no step while it is paused. */
  private static final class Node {
    private final String name;
    private int incarnation;
    private long pausedUntilMs;
    private Snapshot state = LogReducer.empty();
    private LeaseElector elector;

    private Node(String name) {
      this.name = name;
      restart(0);
    }

    private void restart(long nowMs) {
      incarnation++;
      state = LogReducer.empty();
      elector = LeaseElector.of(SCOPE, name + "#" + incarnation, TTL_MS, GUARD_MS, nowMs);
    }
  }

  private record InFlight(LogRecord logRecord, long arrivesAtMs) {}

  /** The processes with their log and clock. */
  private static final class Simulation {
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<LogRecord> log = new ArrayList<>();
    private final List<InFlight> inFlight = new ArrayList<>();
    private long nowMs;
    private int holderObservations;

    private Simulation(long seed) {
      random = new Random(seed);
      for (int i = 0; i < NODES; i++) {
        nodes.add(new Node("n" + i));
      }
    }

    private void step() {
      nowMs += random.nextInt(60);
      deliverDue();
      Node node = nodes.get(random.nextInt(nodes.size()));
      if (node.pausedUntilMs > nowMs) {
        return;
      }
      switch (random.nextInt(60)) {
        case 0 -> node.pausedUntilMs = nowMs + random.nextInt((int) (3 * TTL_MS));
        case 1 -> node.restart(nowMs);
        case 2 -> resignAndRestart(node);
        case 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 -> readLog(node);
        default -> claim(node);
      }
    }

    private void resignAndRestart(Node node) {
      node.elector.resign().ifPresent(l -> send(release(node)));
      node.restart(nowMs);
    }

    private void claim(Node node) {
      String id = node.elector.scope() + random.nextLong();
      node.elector
          .claimIfDue(id, nowMs, 0)
          .ifPresent(c -> send(LogRecord.newBuilder().setAppendId(id).setClaim(c).build()));
    }

    private LogRecord release(Node node) {
      return LogRecord.newBuilder()
          .setRelease(
              LeaseRelease.newBuilder()
                  .setScope(SCOPE)
                  .setHolder(node.name + "#" + node.incarnation)
                  .setEpoch(node.elector.epoch()))
          .build();
    }

    /** Loses some appends, and delivers some long after their sender has timed out. */
    private void send(LogRecord logRecord) {
      if (random.nextInt(5) > 0) {
        long delayMs = random.nextInt(10) == 0 ? 2 * TTL_MS : random.nextInt(100);
        inFlight.add(new InFlight(logRecord, nowMs + delayMs));
      }
    }

    private void deliverDue() {
      inFlight.stream().filter(f -> f.arrivesAtMs() <= nowMs).forEach(f -> log.add(f.logRecord()));
      inFlight.removeIf(f -> f.arrivesAtMs() <= nowMs);
    }

    private void readLog(Node node) {
      int upTo = (int) node.state.getNextOffset() - 1 + random.nextInt(12);
      while (node.state.getNextOffset() <= Math.min(upTo, log.size())) {
        long offset = node.state.getNextOffset();
        node.state = LogReducer.apply(node.state, offset, log.get((int) offset - 1));
      }
      Optional<LeaseState> lease = LogReducer.lease(node.state, SCOPE);
      node.elector.observe(lease, nowMs);
    }

    private void checkSingleHolder() {
      List<String> holders =
          nodes.stream().filter(n -> n.elector.remainingMs(nowMs) > 0).map(n -> n.name).toList();
      holderObservations += holders.size();
      assertThat(holders).as("lease holders at %d ms", nowMs).hasSizeLessThanOrEqualTo(1);
    }
  }

  @Property(tries = TRIES, seed = "20261203")
  void should_have_at_most_one_holder_when_appends_are_lost_and_processes_pause(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Simulation simulation = new Simulation(seed);
    // WHEN
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
      simulation.checkSingleHolder();
    }
    // THEN
    Statistics.label("lease was held")
        .collect(simulation.holderObservations > 0)
        .coverage(c -> c.check(true).percentage(p -> p >= MIN_TRIES_WITH_HOLDER_PERCENT));
  }

  @Example
  void should_elect_another_holder_when_the_holder_has_died() {
    // GIVEN
    LeaseElector first = LeaseElector.of(SCOPE, "a#1", TTL_MS, GUARD_MS, 0);
    LeaseElector second = LeaseElector.of(SCOPE, "b#1", TTL_MS, GUARD_MS, 0);
    final Snapshot log = claimAndRead(LogReducer.empty(), first, 0);
    second.observe(LogReducer.lease(log, SCOPE), 10);
    assertThat(first.remainingMs(10)).isEqualTo(TTL_MS - 10);
    // WHEN
    long earlyMs = 10 + TTL_MS + GUARD_MS - 1;
    assertThat(second.claimIfDue("early", earlyMs, 0)).isEmpty();
    claimAndRead(log, second, earlyMs + 1);
    // THEN
    assertThat(second.remainingMs(earlyMs + 1)).isEqualTo(TTL_MS);
    assertThat(first.remainingMs(earlyMs + 1)).isNegative();
  }

  @Example
  void should_refuse_an_effect_when_the_lease_expires_before_it_ends() {
    // GIVEN
    LeaseElector elector = LeaseElector.of(SCOPE, "a#1", TTL_MS, GUARD_MS, 0);
    claimAndRead(LogReducer.empty(), elector, 0);
    // WHEN, THEN
    assertThat(elector.requireHeld(TTL_MS - 100, 100)).isEqualTo(elector.epoch());
    assertThatThrownBy(() -> elector.requireHeld(TTL_MS - 99, 100))
        .hasMessageContaining("expected 100 ms remaining but had 99");
  }

  private static Snapshot claimAndRead(Snapshot log, LeaseElector elector, long nowMs) {
    LogRecord claim =
        LogRecord.newBuilder()
            .setAppendId("id" + nowMs)
            .setClaim(elector.claimIfDue("id" + nowMs, nowMs, 0).orElseThrow())
            .build();
    Snapshot next = LogReducer.apply(log, log.getNextOffset(), claim);
    elector.observe(LogReducer.lease(next, SCOPE), nowMs);
    return next;
  }
}
