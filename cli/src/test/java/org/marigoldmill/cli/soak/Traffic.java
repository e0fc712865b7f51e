package org.marigoldmill.cli.soak;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.marigoldmill.cli.deployment.EngineStandin;
import org.marigoldmill.cli.soak.CallerConnection.Answer;
import org.marigoldmill.cli.soak.CallerConnection.Ending;
import org.marigoldmill.cli.soak.CallerConnection.Request;
import org.marigoldmill.cli.soak.SoakLog.Promise;

/** Callers, and the check of each answer that they get. */
final class Traffic {
  /** Time from the last byte of a request within which a close may cross it, in milliseconds. */
  private static final long LOSS_SLACK_MS = 200;

  private static final int[] RUN_MS = {0, 0, 5, 20, 20, 60, 100, 400, 1_200};
  private static final long RETRY_PAUSE_MS = 100;
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private enum Kind {
    CALL,
    MUTATING,
    STREAM
  }

  private final LoadBalancer balancer;
  private final Upstreams upstreams;
  private final Disturbances disturbances;
  private final ConfigHistory config;
  private final SoakLog log;
  private final AtomicInteger nextId = new AtomicInteger();
  private final Set<String> mutating = ConcurrentHashMap.newKeySet();
  private final Set<String> refused = ConcurrentHashMap.newKeySet();
  private final Map<String, LongAdder> outcomes = new ConcurrentHashMap<>();

  Traffic(
      LoadBalancer balancer,
      Upstreams upstreams,
      Disturbances disturbances,
      ConfigHistory config,
      SoakLog log) {
    this.balancer = balancer;
    this.upstreams = upstreams;
    this.disturbances = disturbances;
    this.config = config;
    this.log = log;
  }

  /** Reuses one connection, with idle times up to a limit, until the instance closes it. */
  void reuseConnection(Random random, int maxIdleMs) {
    SoakInstance instance = balancer.pick(random);
    int life = instance.life();
    try (CallerConnection connection = new CallerConnection(instance.address(), log)) {
      boolean open = true;
      while (open && !Thread.currentThread().isInterrupted()) {
        SoakRun.sleep(random.nextInt(maxIdleMs));
        open = !connection.isClosedByPeer() && send(random, instance, life, connection);
      }
    } catch (IOException e) {
      count("connection refused");
      SoakRun.sleep(RETRY_PAUSE_MS);
    }
  }

  /** Sends a request on a new connection. */
  void useNewConnection(Random random, int maxIdleMs) {
    SoakRun.sleep(random.nextInt(maxIdleMs));
    SoakInstance instance = balancer.pick(random);
    int life = instance.life();
    try (CallerConnection connection = new CallerConnection(instance.address(), log)) {
      send(random, instance, life, connection);
    } catch (IOException e) {
      count("connection refused");
    }
  }

  /** Asks an instance in rotation for a route, or with a key, that was added or removed lately. */
  void probeConfig(Random random, SoakInstance instance, int pauseMs) {
    SoakRun.sleep(pauseMs);
    if (balancer.isInRotation(instance)) {
      config.recentSubject(random).ifPresent(s -> probe(instance, s));
    }
  }

  /** Checks, once all requests have ended, what the engines have run. */
  void checkRuns() {
    Map<String, Long> runs = upstreams.runs();
    mutating.stream()
        .filter(id -> runs.getOrDefault(id, 0L) > 1)
        .forEach(id -> log.violation(Promise.TWICE, "%s ran %d times", id, runs.get(id)));
    refused.stream()
        .filter(runs::containsKey)
        .forEach(id -> log.violation(Promise.REFUSED, "%s was refused but ran", id));
    log.event("outcomes %s", new TreeMap<>(outcomes));
    if (!outcomes.containsKey("CALL 200")) {
      log.violation(Promise.LOST, "no call was served");
    }
  }

  private void probe(SoakInstance instance, ConfigHistory.Subject subject) {
    int life = instance.life();
    String path = (subject.isKey() ? "/app" : "/" + subject.name()) + "/echo/0";
    String key = subject.isKey() ? subject.name() : "key";
    Request request = Request.get(path, newId("probe"), key);
    try {
      Answer answer = CallerConnection.call(instance.address(), log, request);
      boolean served = answer.isWhole() && answer.status() == 200;
      if (served || answer.status() == (subject.isKey() ? 401 : 404)) {
        config.check(instance, life, subject, served, answer.sentMs(), answer.endedMs());
      }
      if (served || !answer.isWhole()) {
        check(Kind.CALL, request, instance, life, answer);
      }
    } catch (IOException e) {
      count("connection refused");
    }
  }

  /** Sends a request and returns whether the connection can be used again. */
  private boolean send(
      Random random, SoakInstance instance, int life, CallerConnection connection) {
    Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
    String id = newId(kind.name());
    int runMs = RUN_MS[random.nextInt(RUN_MS.length)];
    Request request =
        switch (kind) {
          case CALL -> Request.get("/app/echo/" + runMs, id, "key");
          case STREAM -> Request.get("/gen/echo/" + runMs, id, "key");
          case MUTATING ->
              new Request(
                  "POST", ConfigHistory.MUTATING_PREFIX + "echo/" + runMs, id, "key", "body");
        };
    if (kind == Kind.MUTATING) {
      mutating.add(id);
    }
    Answer answer = connection.exchange(request);
    check(kind, request, instance, life, answer);
    return answer.keepsConnection();
  }

  private void check(Kind kind, Request request, SoakInstance instance, int life, Answer answer) {
    count(kind + " " + (answer.isWhole() ? answer.status() : answer.ending()));
    String where =
        String.format(
            "%s at %s life=%d term_ms=%d sent_ms=%d ended_ms=%d status=%d ending=%s",
            request.id(),
            instance.name(),
            life,
            instance.stoppedMs(),
            answer.sentMs(),
            answer.endedMs(),
            answer.status(),
            answer.ending());
    if (answer.isWhole()) {
      checkWhole(kind, request, answer, where);
    } else {
      checkBrokenOff(kind, request, instance, answer, where);
    }
  }

  private void checkWhole(Kind kind, Request request, Answer answer, String where) {
    boolean ok = answer.status() == 200;
    boolean sealed = answer.header("x-server-seal").equals(EngineStandin.score(request.id()));
    String expected = kind == Kind.STREAM ? stream(request.id()) : EngineStandin.echo(request.id());
    if (ok && !(sealed && answer.body().equals(expected))) {
      log.violation(Promise.MIXED, "%s answered %s", where, answer);
    }
    if (!ok && !answer.header("x-server-seal").isEmpty()) {
      log.violation(Promise.MIXED, "%s failed with the seal of an engine: %s", where, answer);
    }
    if (NOT_RUN_STATUSES.contains(answer.status()) && kind == Kind.MUTATING) {
      refused.add(request.id());
    } else if (answer.status() >= 400 && answer.status() < 500 && answer.status() != 429) {
      log.violation(Promise.DENIED, "%s detail=%s", where, answer.body());
    }
  }

  private void checkBrokenOff(
      Kind kind, Request request, SoakInstance instance, Answer answer, String where) {
    if (kind == Kind.STREAM && !stream(request.id()).startsWith(answer.body())) {
      log.violation(Promise.MIXED, "%s streamed %s", where, answer.body());
    }
    boolean ran = upstreams.hasRun(request.id());
    long afterMs = answer.endedMs() - answer.sentMs();
    if ((ran || afterMs > LOSS_SLACK_MS || answer.ending() == Ending.SILENT)
        && disturbances.withoutFault(instance.name(), answer.sentMs(), answer.endedMs())) {
      log.violation(Promise.LOST, "%s after_ms=%d ran=%s", where, afterMs, ran);
    }
  }

  private static String stream(String id) {
    String[] data = EngineStandin.echoText(Upstreams.EVENTS, id).split("\n", -1);
    return IntStream.range(0, data.length)
        .mapToObj(i -> "id: " + (i + 1) + "\ndata: " + data[i] + "\n\n")
        .collect(Collectors.joining());
  }

  private String newId(String kind) {
    return kind.toLowerCase(Locale.ROOT) + "-" + nextId.incrementAndGet();
  }

  private void count(String outcome) {
    outcomes.computeIfAbsent(outcome, k -> new LongAdder()).increment();
  }
}
