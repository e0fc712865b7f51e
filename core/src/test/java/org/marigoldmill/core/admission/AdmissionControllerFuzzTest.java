package org.marigoldmill.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.marigoldmill.core.admission.AdmissionController.Decision;
import org.marigoldmill.core.admission.AdmissionController.Verdict;

/**
 * Offers, releases and expires random requests under changing capacity, and compares with the sets
 * of running and waiting requests: none is lost, none starts twice, no limit is exceeded.
 */
class AdmissionControllerFuzzTest {
  private static final int STEPS = 800;
  private static final int TRIES = 25;
  private static final int QUEUE_LIMIT = 20;
  private static final String POOL = "records";

  /** The controller and the sets of requests that it must agree with. */
  private static final class Simulation {
    private final Random random;
    private final Map<Long, Ticket> running = new HashMap<>();
    private final Map<Long, Ticket> waiting = new HashMap<>();
    private final Set<Long> ended = new HashSet<>();
    private int capacity = 4;
    private final AdmissionController admission =
        AdmissionController.withLimits(pool -> capacity, pool -> QUEUE_LIMIT);
    private long nowMs;
    private long nextId;

    private Simulation(long seed) {
      random = new Random(seed);
    }

    private void step() {
      nowMs += random.nextInt(5);
      switch (random.nextInt(12)) {
        case 0 -> capacity = random.nextInt(7);
        case 1 -> moveToRunning(admission.startQueued());
        case 2 -> expire();
        case 3, 4, 5, 6 -> releaseRandom();
        default -> offer();
      }
      check();
    }

    private void offer() {
      String organisation = random.nextInt(4) > 0 ? "large" : "o" + random.nextInt(7);
      Ticket ticket =
          new Ticket(
              nextId++,
              POOL,
              random.nextInt(3),
              organisation,
              1 + random.nextInt(3),
              1 + random.nextInt(5),
              nowMs + random.nextInt(200));
      Decision decision = admission.offer(ticket, nowMs);
      decision
          .evicted()
          .ifPresent(
              t -> {
                assertThat(waiting.remove(t.id())).as("evicted %s", t).isNotNull();
                assertThat(ended.add(t.id())).isTrue();
              });
      if (decision.verdict() == Verdict.ADMITTED) {
        running.put(ticket.id(), ticket);
        assertThat(running.size()).isLessThanOrEqualTo(capacity);
      } else if (decision.verdict() == Verdict.QUEUED) {
        waiting.put(ticket.id(), ticket);
      } else {
        ended.add(ticket.id());
        assertThat(decision.retryAfterMs()).isPositive();
      }
    }

    private void releaseRandom() {
      List<Ticket> all = new ArrayList<>(running.values());
      if (all.isEmpty()) {
        return;
      }
      Ticket ticket = all.get(random.nextInt(all.size()));
      running.remove(ticket.id());
      assertThat(ended.add(ticket.id())).isTrue();
      moveToRunning(admission.release(ticket, random.nextInt(10), 1 + random.nextInt(50)));
    }

    private void expire() {
      for (Ticket ticket : admission.expire(nowMs)) {
        assertThat(waiting.remove(ticket.id())).as("expired %s", ticket).isNotNull();
        assertThat(ticket.deadlineMs()).isLessThanOrEqualTo(nowMs);
        assertThat(ended.add(ticket.id())).isTrue();
      }
    }

    private void moveToRunning(List<Ticket> tickets) {
      for (Ticket ticket : tickets) {
        assertThat(waiting.remove(ticket.id())).as("started %s", ticket).isNotNull();
        running.put(ticket.id(), ticket);
      }
      if (!tickets.isEmpty()) {
        assertThat(running.size()).isLessThanOrEqualTo(capacity);
      }
    }

    private void check() {
      assertThat(admission.running(POOL)).isEqualTo(running.size());
      assertThat(admission.queued(POOL)).isEqualTo(waiting.size());
      assertThat(waiting.size()).isLessThanOrEqualTo(QUEUE_LIMIT);
    }
  }

  @Property(tries = TRIES, seed = "20261203")
  void should_lose_no_request_and_exceed_no_limit_when_load_and_capacity_change(
      @ForAll @LongRange(min = 0) long seed) {
    // GIVEN
    Simulation simulation = new Simulation(seed);
    // WHEN
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
    }
    // THEN
    assertThat(simulation.ended).isNotEmpty();
  }
}
