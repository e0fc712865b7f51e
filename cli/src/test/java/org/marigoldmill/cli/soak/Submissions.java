package org.marigoldmill.cli.soak;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.marigoldmill.cli.deployment.DeploymentCluster;
import org.marigoldmill.cli.deployment.EngineStandin;
import org.marigoldmill.cli.soak.CallerConnection.Answer;
import org.marigoldmill.cli.soak.CallerConnection.Request;
import org.marigoldmill.cli.soak.SoakLog.Promise;

/** Trainers that submit items and read the results at any instance. */
final class Submissions {
  /** Time after which what was accepted or read must be there, in milliseconds. */
  private static final long SETTLE_MS = 1_000;

  private static final long RETRY_PAUSE_MS = 300;
  private static final int MAX_ATTEMPTS = 12;

  /** An accepted submission with the results read so far. */
  private static final class Accepted {
    private final String id;
    private final int total;
    private final long acceptedMs;
    private final Map<Integer, JsonNode> results = new ConcurrentHashMap<>();
    private final Map<Integer, Long> readMs = new ConcurrentHashMap<>();
    private final Map<String, Integer> positions = new ConcurrentHashMap<>();

    Accepted(String id, int total, long acceptedMs) {
      this.id = id;
      this.total = total;
      this.acceptedMs = acceptedMs;
    }

    boolean isListed() {
      return results.size() >= total;
    }
  }

  private final LoadBalancer balancer;
  private final Upstreams upstreams;
  private final Disturbances disturbances;
  private final SoakLog log;
  private final AtomicInteger nextId = new AtomicInteger();
  private final List<Accepted> accepted = new CopyOnWriteArrayList<>();
  private final List<String> refused = new CopyOnWriteArrayList<>();

  Submissions(LoadBalancer balancer, Upstreams upstreams, Disturbances disturbances, SoakLog log) {
    this.balancer = balancer;
    this.upstreams = upstreams;
    this.disturbances = disturbances;
    this.log = log;
  }

  /** Submits items, again after each failure, and notes whether they were accepted. */
  void submit(Random random, int pauseMs) {
    SoakRun.sleep(pauseMs);
    String id = "lot" + nextId.incrementAndGet();
    ObjectNode body = DeploymentCluster.submission(id);
    body.get("items")
        .forEach(i -> ((ObjectNode) i).put("path", "/gen/echo/" + i.get("id").asText()));
    boolean onlyRefused = true;
    for (int attempt = 0; attempt < MAX_ATTEMPTS && !stopped(); attempt++) {
      Request request = new Request("POST", "/batch/" + id, id, "key", body.toString());
      int status = 0;
      try {
        Answer answer = CallerConnection.call(balancer.pick(random).address(), log, request);
        status = answer.isWhole() ? answer.status() : 0;
        onlyRefused &= status == 429 || status == 503;
      } catch (IOException e) {
        log.event("submission %s not sent: %s", id, e.getMessage());
      }
      if (status == 202) {
        accepted.add(new Accepted(id, body.get("items").size(), log.now()));
        return;
      }
      SoakRun.sleep(RETRY_PAUSE_MS);
    }
    if (onlyRefused) {
      refused.add(id);
    }
    log.event("submission %s was not accepted", id);
  }

  /** Reads a page of one submission from some position at some instance. */
  void read(Random random, int maxPauseMs) {
    SoakRun.sleep(random.nextInt(maxPauseMs));
    List<Accepted> choice =
        accepted.stream().filter(s -> !s.isListed() || random.nextInt(4) == 0).toList();
    if (!choice.isEmpty()) {
      Accepted submission = choice.get(random.nextInt(choice.size()));
      int known = submission.results.size();
      int after = random.nextInt(3) == 0 ? random.nextInt(known + 1) : known;
      read(submission, Math.min(after, submission.total - 1), balancer.pick(random));
    }
  }

  /** Waits until every item is listed, and reports those that are not in time. */
  void awaitListed(long untilMs) {
    while (log.now() < untilMs && !accepted.stream().allMatch(Accepted::isListed)) {
      SoakRun.sleep(RETRY_PAUSE_MS);
    }
    accepted.stream()
        .filter(s -> !s.isListed())
        .forEach(
            s ->
                log.violation(
                    Promise.SUBMISSION,
                    "%s has %d of %d items listed",
                    s.id,
                    s.results.size(),
                    s.total));
    log.event("submissions accepted=%d refused=%d", accepted.size(), refused.size());
  }

  /** Checks, once all requests have ended, that no item of a refused submission ran. */
  void checkRuns() {
    Map<String, Long> runs = upstreams.runs();
    refused.stream()
        .filter(id -> runs.keySet().stream().anyMatch(r -> r.startsWith(id + "-")))
        .forEach(id -> log.violation(Promise.REFUSED, "%s was refused but ran", id));
  }

  private void read(Accepted submission, int after, SoakInstance instance) {
    String path = "/-/lots/" + submission.id + "?after=" + after;
    Answer answer;
    try {
      answer =
          CallerConnection.call(
              instance.address(), log, Request.get(path, "read-" + submission.id, "key"));
    } catch (IOException e) {
      return;
    }
    if (!answer.isWhole()) {
      return;
    }
    String where =
        String.format(
            "%s after=%d at %s sent_ms=%d ended_ms=%d status=%d",
            submission.id,
            after,
            instance.name(),
            answer.sentMs(),
            answer.endedMs(),
            answer.status());
    boolean inTouch = disturbances.inTouch(instance.name(), answer.sentMs(), answer.endedMs());
    if (answer.status() == 200) {
      JsonNode results = parse(answer.body()).get("results");
      for (int i = 0; i < results.size(); i++) {
        note(submission, after + i, results.get(i), where);
      }
      Long readMs = submission.readMs.get(after);
      if (results.isEmpty() && readMs != null && answer.sentMs() > readMs + SETTLE_MS && inTouch) {
        log.violation(Promise.SUBMISSION, "%s has nothing where a result was read", where);
      }
    } else if (answer.status() != 503
        && answer.sentMs() > submission.acceptedMs + SETTLE_MS
        && inTouch) {
      log.violation(Promise.SUBMISSION, "%s is not readable", where);
    }
  }

  private void note(Accepted submission, int position, JsonNode result, String where) {
    String item = result.get("id").asText();
    submission.readMs.putIfAbsent(position, log.now());
    JsonNode before = submission.results.putIfAbsent(position, result);
    if (before != null && !before.equals(result)) {
      log.violation(Promise.TWICE, "%s position %d was %s, is %s", where, position, before, result);
    }
    Integer other = submission.positions.putIfAbsent(item, position);
    if (other != null && other != position) {
      log.violation(Promise.TWICE, "%s %s is at %d and %d", where, item, other, position);
    }
    boolean whole =
        result.path("text").asText().equals(EngineStandin.echoText(Upstreams.EVENTS, item))
            && result.path("score").asText().equals(EngineStandin.score("reward-" + item));
    if (!result.get("state").asText().equals("completed") || !whole) {
      log.violation(Promise.MIXED, "%s position %d is %s", where, position, result);
    }
  }

  private static boolean stopped() {
    return Thread.currentThread().isInterrupted();
  }

  private static JsonNode parse(String body) {
    try {
      return DeploymentCluster.MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(body, e);
    }
  }
}
