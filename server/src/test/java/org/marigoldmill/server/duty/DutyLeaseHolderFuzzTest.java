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
 * Several processes claim the lease while they pause and restart, over a store that loses, delays
 * and refuses appends and trims its history. At most one process may hold the lease at a time, and
 * each new holder must have a higher fencing token.
 */
class DutyLeaseHolderFuzzTest {
  private static final int PROCESSES = 3;
  private static final int STEPS = 500;
  private static final int FAULT_PERCENT = 20;
  private static final int MAX_STEP_MS = 120;
  private static final long TTL_MS = 1_000;
  private static final long STARTUP_DELAY_MS = 1_500;

  /** Processes that share one store and one clock. */
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
        holder.claimIfDue();
      }
      checkInvariants();
    }

    private void checkInvariants() {
      long holding = holders.stream().filter(h -> h.remainsHeldFor(1)).count();
      assertThat(holding).as("lease holders at %d ms", clock.get()).isLessThanOrEqualTo(1);
      for (int i = 0; i < PROCESSES; i++) {
        DutyLeaseHolder holder = holders.get(i);
        if (holder.remainsHeldFor(1)) {
          long epoch = holder.requireFencingToken(1);
          assertThat(epoch).isGreaterThanOrEqualTo(highestEpoch);
          boolean other = System.identityHashCode(holder) != lastHolder;
          if (other) {
            assertThat(epoch).as("fencing token of a new holder").isGreaterThan(highestEpoch);
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
    Cluster cluster = new Cluster(seed);
    for (int i = 0; i < STEPS; i++) {
      cluster.step();
    }
    assertThat(cluster.holderChanges).as("changes of the lease holder").isGreaterThan(2);
  }
}
