package org.marigoldmill.core.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.marigoldmill.core.limit.Urgency;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.schema.platform.PlatformInstance;

/**
 * Instances that send callers' requests and bursts of reward calls to the engines of one service,
 * in virtual time.
 */
final class LoadSimulation {
  private static final String SERVICE = "records";
  private static final double LINK_MS = 1;
  private static final double OTHER_ZONE_LINK_MS = 2;
  private static final double RETRY_MS = 15;
  private static final int TRIES = 4;
  private static final long REWARD_TIME_MS = 1_500;

  /**
   * What is simulated.
   *
   * @param engineZones zone of each engine
   * @param speeds factor of the time of work of each engine
   * @param oldShare part of the instances that choose by the rule before
   * @param callsPerSecond callers' requests of all instances
   * @param callZones zones whose instances get callers' requests
   * @param burstsPerSecond bursts of reward calls of all instances
   * @param reportLoss part of the reports that are lost
   * @param maxReportDelayMs longest delay of a report behind its answer
   * @param windows whether reward calls wait for free slots
   */
  record Scenario(
      int instances,
      List<String> engineZones,
      List<Double> speeds,
      double oldShare,
      double callsPerSecond,
      List<String> callZones,
      double burstsPerSecond,
      int burstSize,
      double callWorkMs,
      double rewardWorkMs,
      double reportLoss,
      long maxReportDelayMs,
      long lengthMs,
      boolean windows) {}

  /**
   * One request that has ended.
   *
   * @param takenMs time until its answer
   * @param queuedBesideFree whether it waited though another engine had a free slot when it came
   * @param explained whether the figures of that engine or of the chosen one were older than the
   *     time of a request
   */
  record Done(
      Urgency urgency,
      String zone,
      long takenMs,
      boolean answered,
      boolean queuedBesideFree,
      boolean explained) {}

  private record Event(long atMs, long order, Runnable run) {}

  private static final class Engine {
    private final PlatformInstance entry;
    private final double speed;
    private final Deque<Request> queue = new ArrayDeque<>();
    private int running;
    private double busyMs;

    private Engine(PlatformInstance entry, double speed) {
      this.entry = entry;
      this.speed = speed;
    }
  }

  private static final class Instance {
    private final String zone;
    private final UpstreamTable table;
    private final BackgroundWindow window = new BackgroundWindow();
    private final Deque<Request> waiting = new ArrayDeque<>();
    private Decision last;

    private Instance(String zone, boolean old, Random random) {
      this.zone = zone;
      this.table =
          old
              ? UpstreamTable.with(random)
              : UpstreamTable.estimating(random, (pool, decision) -> last = decision);
    }
  }

  private static final class Request {
    private final Instance from;
    private final Urgency urgency;
    private final long createdAtMs;
    private final Set<String> tried = new HashSet<>();
    private Engine engine;
    private long sentAtMs;
    private int tries;
    private boolean queuedBesideFree;
    private boolean explained;

    private Request(Instance from, Urgency urgency, long createdAtMs) {
      this.from = from;
      this.urgency = urgency;
      this.createdAtMs = createdAtMs;
    }
  }

  static final int SLOTS = 6;
  private static final int QUEUE = 12;

  private final Scenario scenario;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs() != b.atMs()
                  ? Long.compare(a.atMs(), b.atMs())
                  : Long.compare(a.order(), b.order()));
  private final List<Engine> engines = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final List<Done> done = new ArrayList<>();
  private long order;
  private long nowMs;

  LoadSimulation(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new Random(seed);
    for (int i = 0; i < scenario.engineZones().size(); i++) {
      engines.add(
          new Engine(
              PlatformInstance.newBuilder()
                  .setName("e" + i)
                  .setPool(SERVICE)
                  .setZone(scenario.engineZones().get(i))
                  .build(),
              scenario.speeds().get(i)));
    }
    List<String> zones = scenario.engineZones().stream().distinct().toList();
    for (int i = 0; i < scenario.instances(); i++) {
      boolean old = i < scenario.oldShare() * scenario.instances();
      Instance instance =
          new Instance(zones.get(i % zones.size()), old, new Random(random.nextLong()));
      instance.table.replace(engines.stream().map(e -> e.entry).toList());
      instances.add(instance);
    }
  }

  /** Runs the scenario and returns all requests that ended. */
  List<Done> run() {
    List<Instance> called =
        instances.stream().filter(i -> scenario.callZones().contains(i.zone)).toList();
    nextCall(called);
    nextBurst();
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.run().run();
    }
    return done;
  }

  /** Returns the largest time of work of an engine as a multiple of the mean. */
  double busiestToMean() {
    double mean = engines.stream().mapToDouble(e -> e.busyMs).average().orElseThrow();
    return engines.stream().mapToDouble(e -> e.busyMs).max().orElseThrow() / mean;
  }

  private void after(double delayMs, Runnable run) {
    events.add(new Event(nowMs + Math.max(0, Math.round(delayMs)), order++, run));
  }

  private double exponentialMs(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * 1e3 / perSecond;
  }

  private void nextCall(List<Instance> from) {
    if (nowMs > scenario.lengthMs()) {
      return;
    }
    after(
        exponentialMs(scenario.callsPerSecond()),
        () -> {
          send(new Request(from.get(random.nextInt(from.size())), Urgency.CALL, nowMs));
          nextCall(from);
        });
  }

  private void nextBurst() {
    if (nowMs > scenario.lengthMs() || scenario.burstsPerSecond() == 0) {
      return;
    }
    after(
        exponentialMs(scenario.burstsPerSecond()),
        () -> {
          // Few instances own the models whose items end at the same moment.
          Instance from = instances.get(random.nextInt(Math.min(6, instances.size())));
          IntStream.range(0, scenario.burstSize())
              .forEach(i -> enter(new Request(from, Urgency.BACKGROUND, nowMs)));
          nextBurst();
        });
  }

  private void enter(Request request) {
    if (!scenario.windows()) {
      send(request);
      return;
    }
    Instance from = request.from;
    from.waiting.add(request);
    after(
        (double) from.window.maxWaitMs(REWARD_TIME_MS, from.table.usualWorkMs(SERVICE)),
        () -> {
          if (from.waiting.remove(request)) {
            from.window.enter(nowMs);
            send(request);
          }
        });
    sendWaiting(from);
  }

  private void sendWaiting(Instance from) {
    while (!from.waiting.isEmpty()
        && from.window.tryEnter(from.table.usualFreeSlots(SERVICE), nowMs)) {
      send(from.waiting.poll());
    }
  }

  private void send(Request request) {
    Instance from = request.from;
    Optional<PlatformInstance> chosen =
        from.table.acquire(
            SERVICE,
            from.zone,
            Integer.MAX_VALUE,
            e -> !request.tried.contains(e.getName()),
            nowMs);
    if (chosen.isEmpty()) {
      request.tried.clear();
      after(RETRY_MS, () -> send(request));
      return;
    }
    request.tried.add(chosen.get().getName());
    request.engine = engines.stream().filter(e -> e.entry.equals(chosen.get())).findFirst().get();
    request.sentAtMs = nowMs;
    request.tries++;
    request.explained = isExplained(request);
    after(linkMs(request), () -> arrive(request));
  }

  /** Returns whether a figure of the chosen engine or of a free one is older than a request. */
  private boolean isExplained(Request request) {
    Decision decision = request.from.last;
    return decision == null
        || decision.considered().stream()
            .filter(
                c ->
                    c.engine().equals(request.engine.entry)
                        || engines.stream()
                            .anyMatch(e -> e.entry.equals(c.engine()) && e.running < SLOTS))
            .anyMatch(c -> c.estimate().ageMs() > scenario.callWorkMs() / 2);
  }

  private double linkMs(Request request) {
    return request.engine.entry.getZone().equals(request.from.zone) ? LINK_MS : OTHER_ZONE_LINK_MS;
  }

  private void arrive(Request request) {
    Engine engine = request.engine;
    if (engine.running < SLOTS) {
      start(request);
      return;
    }
    if (engine.queue.size() >= QUEUE) {
      after(linkMs(request), () -> refused(request));
      return;
    }
    request.queuedBesideFree =
        engines.stream().anyMatch(e -> e.queue.isEmpty() && e.running < SLOTS - 1);
    engine.queue.add(request);
  }

  private void refused(Request request) {
    request.from.table.recordRefusal(request.engine.entry, nowMs);
    if (request.urgency == Urgency.BACKGROUND) {
      request.from.window.recordRefusal(request.from.table.usualWorkMs(SERVICE), nowMs);
    }
    // The owner of an item repeats a reward call that was refused.
    boolean again =
        request.urgency == Urgency.CALL
            ? request.tries < TRIES
            : nowMs - request.createdAtMs < REWARD_TIME_MS;
    if (again) {
      send(request);
    } else {
      end(request, false);
    }
  }

  private void start(Request request) {
    Engine engine = request.engine;
    engine.running++;
    double workMs =
        request.urgency == Urgency.CALL ? scenario.callWorkMs() : scenario.rewardWorkMs();
    double takesMs = workMs * engine.speed * (0.7 + 0.6 * random.nextDouble());
    engine.busyMs += takesMs;
    after(
        takesMs,
        () -> {
          engine.running--;
          LoadReport report = new LoadReport(engine.running, engine.queue.size(), SLOTS, 1);
          if (!engine.queue.isEmpty()) {
            start(engine.queue.poll());
          }
          after(linkMs(request), () -> answered(request, report));
        });
  }

  private void answered(Request request, LoadReport report) {
    UpstreamTable table = request.from.table;
    table.recordSuccess(request.engine.entry);
    if (request.urgency == Urgency.BACKGROUND) {
      request.from.window.recordReport(report, table.usualWorkMs(SERVICE), nowMs);
    }
    if (random.nextDouble() >= scenario.reportLoss()) {
      after(
          random.nextDouble() * scenario.maxReportDelayMs(),
          () -> {
            table.recordReport(SERVICE, request.engine.entry.getName(), 1, report, nowMs);
            table.recordResponse(
                SERVICE, request.engine.entry.getName(), (double) nowMs - request.sentAtMs);
          });
    }
    end(request, true);
  }

  private void end(Request request, boolean answered) {
    if (request.urgency == Urgency.BACKGROUND) {
      request.from.window.leave(nowMs);
      sendWaiting(request.from);
    }
    done.add(
        new Done(
            request.urgency,
            request.from.zone,
            nowMs - request.createdAtMs,
            answered,
            request.queuedBesideFree,
            request.explained));
  }
}
