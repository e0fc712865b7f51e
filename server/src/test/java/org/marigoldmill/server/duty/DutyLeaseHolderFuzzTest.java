package org.marigoldmill.server.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldmill.server.store.FaultyStore;

/**
 * Several processes claim the lease over a store that loses, delays and refuses, forgets its
 * history, and while they pause and restart, against the oracle that no two of them are in charge
 * at the same time and that each new holder has a higher fencing number.
 */
class DutyLeaseHolderFuzzTest {
  private static final int PROCESSES = 3;
  private static final int STEPS = 500;
  private static final int FAULT_PERCENT = 20;
  private static final int MAX_STEP_MS = 120;
  private static final long TTL_MS = 1_000;
  private static final long STARTUP_DELAY_MS = 1_500;

  /** The processes over one store and one clock. */
  private static final class Cluster {
    private final FaultyStore store;
    private final Random random;
    private final AtomicLong clock = new AtomicLong(10_000);
    private final List<DutyLeaseHolder> holders = new ArrayList<>();
    private int nextProcessId;
    private int holderChanges;
    private int lastHolder = -1;
    private long highestEpoch;

    private Cluster(long seed) {
      store = new FaultyStore(seed, FAULT_PERCENT);
      random = new Random(seed);
      for (int i = 0; i < PROCESSES; i++) {
        holders.add(newHolder());
      }
    }

    private DutyLeaseHolder newHolder() {
      return new DutyLeaseHolder(
          store, "p#" + nextProcessId++, TTL_MS, STARTUP_DELAY_MS, clock::get);
    }

    private void step() {
      clock.addAndGet(random.nextInt(MAX_STEP_MS));
      int number = random.nextInt(PROCESSES);
      DutyLeaseHolder holder = holders.get(number);
      int action = random.nextInt(100);
      if (action < 2) {
        holders.set(number, newHolder());
      } else if (action < 4) {
        holder.release();
        holders.set(number, newHolder());
      } else if (action < 6) {
        store.trim();
      } else {
        holder.follower().catchUp();
        holder.runRound();
      }
      checkInvariants();
    }

    private void checkInvariants() {
      long inCharge = holders.stream().filter(h -> h.isHeldFor(1)).count();
      assertThat(inCharge).as("processes in charge at %d", clock.get()).isLessThanOrEqualTo(1);
      for (int i = 0; i < PROCESSES; i++) {
        DutyLeaseHolder holder = holders.get(i);
        if (holder.isHeldFor(1)) {
          long epoch = holder.requireFencingToken(1);
          assertThat(epoch).isGreaterThanOrEqualTo(highestEpoch);
          boolean other = System.identityHashCode(holder) != lastHolder;
          if (other) {
            assertThat(epoch).as("fencing number of a new holder").isGreaterThan(highestEpoch);
            holderChanges++;
          }
          lastHolder = System.identityHashCode(holder);
          highestEpoch = epoch;
        }
      }
    }
  }

  @Property(tries = 25, seed = "20261204")
  void should_have_one_holder_at_a_time_when_the_store_and_the_processes_fail(@ForAll long seed) {
    Cluster world = new Cluster(seed);
    for (int i = 0; i < STEPS; i++) {
      world.step();
    }
    assertThat(world.holderChanges).as("tenures of the lease").isGreaterThan(2);
  }
}
