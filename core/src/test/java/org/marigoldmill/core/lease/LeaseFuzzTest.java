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
 * Drives several keepers of one lease over one log, with lost and late appends, slow readers,
 * pauses and restarts, against the oracle that no two of them are in charge at the same time.
 */
class LeaseFuzzTest {
  private static final String SCOPE = "ordering/a";
  private static final int ACTIONS = 600;
  private static final int TRIES = 25;
  private static final int RUNS_WITH_HOLDER_PERCENT = 80;
  private static final int PROCESSES = 4;
  private static final long TTL_MS = 1_000;
  private static final long GUARD_MS = 50;

  /** One process: it reads the log up to a position and acts only while it is not paused. */
  private static final class Node {
    private final String name;
    private int life;
    private long pausedUntil;
    private Snapshot read = LogReducer.empty();
    private LeaseElector keeper;

    private Node(String name) {
      this.name = name;
      restart(0);
    }

    private void restart(long now) {
      life++;
      read = LogReducer.empty();
      keeper = LeaseElector.of(SCOPE, name + "#" + life, TTL_MS, GUARD_MS, now);
    }
  }

  private record InFlight(LogRecord logRecord, long arrivesAt) {}

  /** The system under test with its log and its clock. */
  private static final class Run {
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<LogRecord> log = new ArrayList<>();
    private final List<InFlight> inFlight = new ArrayList<>();
    private long now;
    private int holders;

    private Run(long seed) {
      random = new Random(seed);
      for (int i = 0; i < PROCESSES; i++) {
        nodes.add(new Node("n" + i));
      }
    }

    private void act() {
      now += random.nextInt(60);
      arrive();
      Node node = nodes.get(random.nextInt(nodes.size()));
      if (node.pausedUntil > now) {
        return;
      }
      switch (random.nextInt(60)) {
        case 0 -> node.pausedUntil = now + random.nextInt((int) (3 * TTL_MS));
        case 1 -> node.restart(now);
        case 2 -> handOver(node);
        case 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 -> readSome(node);
        default -> claim(node);
      }
    }

    private void handOver(Node node) {
      node.keeper.resign().ifPresent(l -> send(release(node)));
      node.restart(now);
    }

    private void claim(Node node) {
      String id = node.keeper.scope() + random.nextLong();
      node.keeper
          .claimIfDue(id, now, 0)
          .ifPresent(c -> send(LogRecord.newBuilder().setAppendId(id).setClaim(c).build()));
    }

    private LogRecord release(Node node) {
      return LogRecord.newBuilder()
          .setRelease(
              LeaseRelease.newBuilder()
                  .setScope(SCOPE)
                  .setHolder(node.name + "#" + node.life)
                  .setEpoch(node.keeper.epoch()))
          .build();
    }

    /** An append may be lost, and may arrive long after its sender gave up on it. */
    private void send(LogRecord logRecord) {
      if (random.nextInt(5) > 0) {
        long delay = random.nextInt(10) == 0 ? 2 * TTL_MS : random.nextInt(100);
        inFlight.add(new InFlight(logRecord, now + delay));
      }
    }

    private void arrive() {
      inFlight.stream().filter(f -> f.arrivesAt() <= now).forEach(f -> log.add(f.logRecord()));
      inFlight.removeIf(f -> f.arrivesAt() <= now);
    }

    private void readSome(Node node) {
      int upTo = (int) node.read.getNextOffset() - 1 + random.nextInt(12);
      while (node.read.getNextOffset() <= Math.min(upTo, log.size())) {
        long offset = node.read.getNextOffset();
        node.read = LogReducer.apply(node.read, offset, log.get((int) offset - 1));
      }
      Optional<LeaseState> lease = LogReducer.lease(node.read, SCOPE);
      node.keeper.observe(lease, now);
    }

    private void check() {
      List<String> inCharge =
          nodes.stream().filter(n -> n.keeper.remainingMs(now) > 0).map(n -> n.name).toList();
      holders += inCharge.size();
      assertThat(inCharge).as("in charge at %d", now).hasSizeLessThanOrEqualTo(1);
    }
  }

  @Property(tries = TRIES, seed = "20261203")
  void should_have_one_process_in_charge_when_appends_are_lost_and_processes_pause(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Run run = new Run(seed);
    // WHEN
    for (int i = 0; i < ACTIONS; i++) {
      run.act();
      run.check();
    }
    // THEN
    Statistics.label("somebody was in charge")
        .collect(run.holders > 0)
        .coverage(c -> c.check(true).percentage(p -> p >= RUNS_WITH_HOLDER_PERCENT));
  }

  @Example
  void should_be_in_charge_again_when_the_holder_has_died() {
    // GIVEN
    LeaseElector first = LeaseElector.of(SCOPE, "a#1", TTL_MS, GUARD_MS, 0);
    LeaseElector second = LeaseElector.of(SCOPE, "b#1", TTL_MS, GUARD_MS, 0);
    final Snapshot log = claimAndRead(LogReducer.empty(), first, 0);
    second.observe(LogReducer.lease(log, SCOPE), 10);
    assertThat(first.remainingMs(10)).isEqualTo(TTL_MS - 10);
    // WHEN
    long early = 10 + TTL_MS + GUARD_MS - 1;
    assertThat(second.claimIfDue("early", early, 0)).isEmpty();
    claimAndRead(log, second, early + 1);
    // THEN
    assertThat(second.remainingMs(early + 1)).isEqualTo(TTL_MS);
    assertThat(first.remainingMs(early + 1)).isNegative();
  }

  @Example
  void should_refuse_an_effect_when_the_rest_of_the_lease_is_shorter() {
    // GIVEN
    LeaseElector keeper = LeaseElector.of(SCOPE, "a#1", TTL_MS, GUARD_MS, 0);
    claimAndRead(LogReducer.empty(), keeper, 0);
    // WHEN, THEN
    assertThat(keeper.requireHeld(TTL_MS - 100, 100)).isEqualTo(keeper.epoch());
    assertThatThrownBy(() -> keeper.requireHeld(TTL_MS - 99, 100))
        .hasMessageContaining("expected 100 ms but had 99");
  }

  private static Snapshot claimAndRead(Snapshot log, LeaseElector keeper, long now) {
    LogRecord claim =
        LogRecord.newBuilder()
            .setAppendId("id" + now)
            .setClaim(keeper.claimIfDue("id" + now, now, 0).orElseThrow())
            .build();
    Snapshot next = LogReducer.apply(log, log.getNextOffset(), claim);
    keeper.observe(LogReducer.lease(next, SCOPE), now);
    return next;
  }
}
