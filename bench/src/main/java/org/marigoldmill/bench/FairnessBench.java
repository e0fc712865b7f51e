package org.marigoldmill.bench;

import static org.marigoldmill.bench.Bench.figure;
import static org.marigoldmill.bench.Bench.row;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.marigoldmill.core.admission.AdmissionController;
import org.marigoldmill.core.admission.AdmissionController.Decision;
import org.marigoldmill.core.admission.AdmissionController.Verdict;
import org.marigoldmill.core.admission.Ticket;
import org.marigoldmill.schema.bench.BenchRow;

/**
 * Measures the response time, from arrival to completion, of the worst-served organisation while
 * another one offers ten times its share.
 *
 * <p>The admission logic runs in virtual time. The baseline puts all organisations into one
 * first-come, first-served queue.
 */
final class FairnessBench {
  private static final String POOL = "records";
  private static final int SLOTS = 8;
  private static final int MAX_QUEUE = 256;
  private static final int ORGANISATIONS = 8;
  private static final double MEAN_RUN_MS = 10;
  private static final double OFFERED_LOAD = 0.5;
  private static final int FLOOD_FACTOR = 10;
  private static final long DURATION_MS = 120_000;
  private static final long QUEUE_TIMEOUT_MS = 2_000;

  private record Event(long atMs, Ticket ticket, boolean completion) {}

  private record Result(Map<String, Histogram> responseTimesMs, Map<String, Integer> refused) {}

  private FairnessBench() {}

  static List<BenchRow> run(long seed) {
    return List.of(
        summary("alone, fair queueing", simulate(seed, 1, true)),
        summary("flood, fair queueing", simulate(seed, FLOOD_FACTOR, true)),
        summary("flood, first come first served", simulate(seed, FLOOD_FACTOR, false)));
  }

  private static BenchRow summary(String label, Result result) {
    double worst =
        result.responseTimesMs().entrySet().stream()
            .filter(e -> !e.getKey().equals("o0"))
            .mapToDouble(e -> e.getValue().getValueAtPercentile(99))
            .max()
            .orElse(0);
    long refused =
        result.refused().entrySet().stream()
            .filter(e -> !e.getKey().equals("o0"))
            .mapToLong(Map.Entry::getValue)
            .sum();
    return row(
        label,
        figure("worst p99 of the other organisations", "ms", worst),
        figure("refused of the other organisations", "requests", (double) refused),
        figure(
            "refused of the flooding one",
            "requests",
            (double) result.refused().getOrDefault("o0", 0)));
  }

  private static Result simulate(long seed, int flood, boolean fair) {
    Random random = new Random(seed);
    AdmissionController admission =
        AdmissionController.withLimits(pool -> SLOTS, pool -> MAX_QUEUE);
    PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
    scheduleArrivals(random, flood, fair, events);
    Result result = new Result(new HashMap<>(), new HashMap<>());
    Map<Long, Long> arrivedAt = new HashMap<>();
    Map<Long, String> owner = new HashMap<>();
    while (!events.isEmpty()) {
      Event event = events.poll();
      List<Ticket> started = new ArrayList<>();
      if (event.completion()) {
        long responseMs = event.atMs() - arrivedAt.get(event.ticket().id());
        recordResponseTime(result, owner.get(event.ticket().id()), responseMs);
        started.addAll(admission.release(event.ticket(), 1, (long) MEAN_RUN_MS));
      } else {
        arrivedAt.put(event.ticket().id(), event.atMs());
        owner.put(event.ticket().id(), ownerOf(event.ticket()));
        Decision decision = admission.offer(event.ticket(), event.atMs());
        decision.evicted().ifPresent(t -> countRefusal(result, owner.get(t.id())));
        if (decision.verdict() == Verdict.ADMITTED) {
          started.add(event.ticket());
        } else if (decision.verdict() == Verdict.REFUSED) {
          countRefusal(result, ownerOf(event.ticket()));
        }
      }
      admission.expire(event.atMs()).forEach(t -> countRefusal(result, owner.get(t.id())));
      started.forEach(t -> events.add(new Event(event.atMs() + runMs(random), t, true)));
    }
    return result;
  }

  /**
   * Returns the organisation that the ticket ID encodes. The baseline names the same organisation
   * in all tickets, so that the admission logic cannot tell them apart.
   */
  private static String ownerOf(Ticket ticket) {
    return "o" + ticket.id() % ORGANISATIONS;
  }

  private static void scheduleArrivals(
      Random random, int flood, boolean fair, PriorityQueue<Event> events) {
    double capacityPerMs = SLOTS / MEAN_RUN_MS;
    double ratePerMs = capacityPerMs * OFFERED_LOAD / ORGANISATIONS;
    long sequence = 0;
    for (int o = 0; o < ORGANISATIONS; o++) {
      double rate = o == 0 ? ratePerMs * flood : ratePerMs;
      for (double at = 0; at < DURATION_MS; at += exponential(random, 1 / rate)) {
        long id = sequence++ * ORGANISATIONS + o;
        String organisation = fair ? "o" + o : "everybody";
        long now = (long) at;
        Ticket ticket = new Ticket(id, POOL, 0, organisation, 1, 1, now + QUEUE_TIMEOUT_MS);
        events.add(new Event(now, ticket, false));
      }
    }
  }

  private static long runMs(Random random) {
    return Math.max(1, Math.round(exponential(random, MEAN_RUN_MS)));
  }

  private static double exponential(Random random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private static void recordResponseTime(Result result, String organisation, long ms) {
    result.responseTimesMs().computeIfAbsent(organisation, o -> new Histogram(3)).recordValue(ms);
  }

  private static void countRefusal(Result result, String organisation) {
    result.refused().merge(organisation, 1, Integer::sum);
  }
}
