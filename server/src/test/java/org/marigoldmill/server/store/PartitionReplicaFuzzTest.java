package org.marigoldmill.server.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldmill.core.submission.PartitionState;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

/**
 * Several replicas, which rest and follow at random, accept, finish and end submissions over a
 * store that loses answers, delays appends and refuses calls.
 *
 * <p>Invariants: the position of a result never changes, no item has two results, a submission
 * reported as {@code HOLDS} is stored, and one reported as {@code NOT_DONE} never is.
 */
class PartitionReplicaFuzzTest {
  private static final Topic TOPIC = new Topic("submissions", true);
  private static final int REPLICAS = 3;
  private static final int ACTIONS = 400;
  private static final int FAULT_PERCENT = 45;
  private static final long COMMIT_TIMEOUT_MS = 9;
  private static final int ITEMS = 4;

  /** State of one run: replicas, a clock that advances with each reading, and results seen. */
  private static final class Simulation {
    private final FaultyStore store;
    private final Random random;
    private final AtomicLong clock = new AtomicLong();
    private final List<PartitionReplica> replicas = new ArrayList<>();
    private final Map<String, List<ItemResult>> seenResults = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private final Set<String> maybeAccepted = new HashSet<>();
    private int nextNewId;

    private Simulation(long seed) {
      store = new FaultyStore(seed, FAULT_PERCENT);
      random = new Random(seed);
      IntStream.range(0, REPLICAS).forEach(i -> replicas.add(replica()));
    }

    private PartitionReplica replica() {
      return new PartitionReplica(
          store, TOPIC, 0, 1 << 20, 0, 0, Runnable::run, clock::incrementAndGet, () -> {});
    }

    private void step() {
      int number = random.nextInt(REPLICAS);
      PartitionReplica replica = replicas.get(number);
      String id = "s" + random.nextInt(6);
      switch (random.nextInt(10)) {
        case 0 -> accept(replica, random.nextBoolean() ? id : "t" + nextNewId++);
        case 1, 2, 3 -> finish(replica, id);
        case 4 -> replica.commit(s -> s.endRecords(id), COMMIT_TIMEOUT_MS).join();
        case 5 -> replicas.set(number, replica());
        case 6 -> maybeTrim();
        case 7 -> replica.setFollowed(random.nextBoolean());
        case 8 -> replica.followUntil(clock.get() + random.nextInt(100));
        default -> replica.follower().catchUp();
      }
      replicas.forEach(this::checkVisibleResults);
    }

    private void maybeTrim() {
      if (random.nextInt(4) == 0) {
        store.trim();
      }
    }

    private void accept(PartitionReplica replica, String id) {
      Submission submission = Submission.newBuilder().setId(id).build();
      PartitionReplica.Result result =
          replica
              .commit(s -> s.acceptanceRecords(submission, items(), 30), COMMIT_TIMEOUT_MS)
              .join();
      if (result == PartitionReplica.Result.HOLDS) {
        accepted.add(id);
      }
      if (result != PartitionReplica.Result.NOT_DONE) {
        maybeAccepted.add(id);
      }
    }

    private void finish(PartitionReplica replica, String id) {
      String text = "run-" + random.nextInt(1_000_000);
      ItemResult done =
          ItemResult.newBuilder()
              .setSubmissionId(id)
              .setItemId("i" + random.nextInt(ITEMS))
              .setText(text)
              .build();
      replica.commit(s -> s.resultRecords(done), COMMIT_TIMEOUT_MS).join();
    }

    /** Checks that a replica shows a prefix or an extension of the results seen so far. */
    private void checkVisibleResults(PartitionReplica replica) {
      PartitionState state = replica.state();
      if (!replica.follower().ready() || !state.contiguous()) {
        return;
      }
      state.submissions().forEach(h -> checkVisibleResults(h.getId(), state.results(h.getId())));
    }

    private void checkVisibleResults(String id, List<ItemResult> results) {
      List<ItemResult> before = seenResults.getOrDefault(id, List.of());
      int common = Math.min(before.size(), results.size());
      assertThat(results.subList(0, common)).isEqualTo(before.subList(0, common));
      assertThat(results.stream().map(ItemResult::getItemId)).doesNotHaveDuplicates();
      if (results.size() > before.size()) {
        seenResults.put(id, results);
      }
    }

    private void checkFinalState() {
      PartitionReplica last = replica();
      while (!last.follower().catchUp()) {
        clock.incrementAndGet();
      }
      accepted.forEach(id -> assertThat(last.state().submission(id)).as(id).isPresent());
      last.state().submissions().forEach(h -> assertThat(maybeAccepted).contains(h.getId()));
      seenResults.forEach(
          (id, seen) -> assertThat(last.state().results(id)).startsWith(toArray(seen)));
    }

    private static ItemResult[] toArray(List<ItemResult> results) {
      return results.toArray(ItemResult[]::new);
    }

    private static List<RolloutItem> items() {
      return IntStream.range(0, ITEMS)
          .mapToObj(i -> RolloutItem.newBuilder().setId("i" + i).setPath("/p").build())
          .toList();
    }
  }

  @Property(tries = 30, seed = "20261203")
  void should_report_true_outcomes_when_the_store_loses_delays_and_refuses_calls(
      @ForAll long seed) {
    Simulation simulation = new Simulation(seed);
    for (int i = 0; i < ACTIONS; i++) {
      simulation.step();
    }
    simulation.checkFinalState();
  }
}
