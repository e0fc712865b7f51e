package org.marigoldmill.cli.promises;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;
import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.process.ExampleDeclaration.FELDPLAN_KEY;
import static org.marigoldmill.cli.process.ExampleDeclaration.TUUL_KEY;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.standin.Run;
import org.marigoldmill.schema.standin.RunList;
import org.marigoldmill.schema.upstream.GenerateRequest;

/** Steps that make calls and check their answers. */
public final class CallSteps {
  private static final int LONG_ANSWER_TOKENS = 700;
  private static final int LOAD_THREADS = 4;

  private final World world;
  private final AtomicInteger ids = new AtomicInteger();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<CompletableFuture<String>> streams = new ArrayList<>();
  private long markedAtMs;
  private Socket halfSentCall;
  private volatile boolean eventOver;

  public CallSteps(World world) {
    this.world = world;
  }

  @When("{string} is called at {string} by {string} with {string}")
  public void call(String service, String entry, String organisation, String body) {
    record(entry, "/v1/" + service + "/call", World.key(organisation), body);
  }

  @When("{string} is called at {string} by {string} with the key in header {string}")
  public void callWithHeader(String service, String entry, String organisation, String header) {
    String key = World.key(organisation);
    record(entry, "/v1/" + service + "/call", key, "header", new Header(header, key));
  }

  @When("{string} is called at {string} by {string} with the key in its query")
  public void callWithQuery(String service, String entry, String organisation) {
    String key = World.key(organisation);
    record(entry, "/v1/" + service + "/call?key=" + key, key, "query");
  }

  @When("{string} is called at {string} by {string} with the key in its body")
  public void callWithBody(String service, String entry, String organisation) {
    String key = World.key(organisation);
    record(entry, "/v1/" + service + "/call", key, "body " + key);
  }

  @When("the first half of a call to {string} is sent to {string}")
  public void sendFirstHalf(String service, String entry) throws IOException {
    URI caller = URI.create("http://" + world.cluster().entry(entry).caller());
    halfSentCall = new Socket(caller.getHost(), caller.getPort());
    halfSentCall
        .getOutputStream()
        .write(
            ("POST /v1/"
                    + service
                    + "/call HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                    + TUUL_KEY
                    + "\r\nContent-Length: 10\r\n\r\nfirst")
                .getBytes(UTF_8));
  }

  @When("the second half follows after {int} ms")
  public void sendSecondHalf(int delayMs) throws IOException {
    ProcessCluster.pause(delayMs);
    halfSentCall.getOutputStream().write("-half".getBytes(UTF_8));
  }

  @Then("the call in halves gets status {int}")
  public void assertStatusOfHalfSentCall(int status) throws IOException {
    try (Socket call = halfSentCall) {
      byte[] start = call.getInputStream().readNBytes("HTTP/1.1 200".length());
      assertThat(new String(start, UTF_8)).isEqualTo("HTTP/1.1 " + status);
    }
  }

  @Then("the answers are {string}")
  public void answers(String statuses) {
    assertThat(world.calls().stream().map(c -> "" + c.status()).collect(Collectors.joining(", ")))
        .isEqualTo(statuses);
  }

  @Then("upstreams have run {string} for {string}")
  public void haveRun(String body, String organisation) {
    assertThat(world.plainRuns().filter(r -> r.getBody().equals(body)))
        .extracting(Run::getOrganisation)
        .containsExactly(organisation);
  }

  @Then("upstreams have not run {string}")
  public void haveNotRun(String body) {
    assertThat(world.plainRuns().map(Run::getBody)).doesNotContain(body);
  }

  @Then("no upstream has received a key")
  public void noKeyUpstream() {
    List<RunList> all =
        Stream.concat(World.PLAIN_UPSTREAMS.stream(), World.ENGINES.stream())
            .map(n -> world.cluster().runs(n))
            .toList();
    assertThat(all.stream().mapToInt(RunList::getRunsCount).sum()).isPositive();
    assertThat(all)
        .allSatisfy(
            r -> {
              assertThat(r.toString()).doesNotContain(TUUL_KEY);
              assertThat(r.toString()).doesNotContain(FELDPLAN_KEY);
            });
  }

  @Then("no log of an entry instance holds a key")
  public void noKeyInLogs() {
    assertThat(World.ENTRIES)
        .allSatisfy(
            e -> {
              String log = world.cluster().process(e).output();
              assertThat(log).isNotEmpty().doesNotContain(TUUL_KEY).doesNotContain(FELDPLAN_KEY);
            });
  }

  @When("{int} calls to {string} are made at {string}")
  public void callsAt(int count, String service, String entry) {
    for (int i = 0; i < count; i++) {
      record(entry, "/v1/" + service + "/call", TUUL_KEY, nextBody());
    }
  }

  @When("{int} calls are made by {string} and {int} by {string}")
  public void callsBy(int first, String one, int second, String other) {
    List<String> live =
        World.ENTRIES.stream().filter(e -> !e.equals(world.frozenHolder())).toList();
    for (int i = 0; i < first + second; i++) {
      String key = World.key(i < first ? one : other);
      record(live.get(i % live.size()), "/v1/lookups/call", key, nextBody());
    }
  }

  @When("{int} pairs of calls are made at the same time to {string}")
  public void pairs(int count, String service) {
    for (int i = 0; i < count; i++) {
      List<CompletableFuture<Void>> pair =
          Stream.of("a1", "a1").map(e -> async(() -> callOnce(e, service))).toList();
      pair.forEach(CompletableFuture::join);
    }
  }

  @When("{string} is called at {string} with the idempotency key {string}")
  public void callWithIdempotencyKey(String service, String entries, String key) {
    for (String entry : ControlSteps.splitNames(entries)) {
      record(
          entry,
          "/v1/" + service + "/call",
          TUUL_KEY,
          "body of " + key,
          new Header("Idempotency-Key", key));
    }
  }

  @When("{string} is called at {string} with {string}")
  public void callInTurn(String service, String entries, String body) {
    for (String entry : ControlSteps.splitNames(entries)) {
      record(entry, "/v1/" + service + "/call", TUUL_KEY, body);
      ProcessCluster.pause(200);
    }
  }

  @Then("at least {int} of {string} are alive")
  public void alive(int count, String upstreams) {
    assertThat(
            ControlSteps.splitNames(upstreams).stream()
                .filter(n -> world.cluster().process(n).isAlive()))
        .hasSizeGreaterThanOrEqualTo(count);
  }

  @When("calls to {string} continue while all open connections to {string} go silent")
  public void callsWhileConnectionsAreSilent(String service, String upstream) {
    underLoad(service, () -> world.cluster().upstreamRelay(upstream).silenceOpenConnections());
  }

  @When("calls to {string} continue while {string} is killed")
  public void callsWhileProcessIsKilled(String service, String process) {
    underLoad(service, () -> world.cluster().process(process).kill());
  }

  @When("calls to {string} continue while {string} is marked as leaving")
  public void callsWhileUpstreamIsLeaving(String service, String upstream) {
    underLoad(
        service,
        () -> {
          world.cluster().postEmpty("instances", "/leaving?name=" + upstream);
          markedAtMs = System.currentTimeMillis();
          ProcessCluster.pause(6_000);
        });
  }

  @When("calls to {string} continue while {string} are restarted one by one")
  public void callsWhileEntriesAreRestarted(String service, String entries) {
    underLoad(service, () -> ControlSteps.splitNames(entries).forEach(this::restartGracefully));
  }

  @Then("{string} runs nothing that began {int} seconds after it was marked")
  public void nothingAfterMark(String upstream, int seconds) {
    List<Run> runs = world.cluster().runs(upstream).getRunsList();
    assertThat(runs).isNotEmpty();
    assertThat(runs).allMatch(r -> r.getAtMs() <= markedAtMs + seconds * 1_000L);
  }

  @Then("every answer belongs to its request")
  public void answersMatchRequests() {
    assertThat(world.calls()).isNotEmpty();
    assertThat(world.calls().stream().filter(World.CallResult::answered))
        .isNotEmpty()
        .allMatch(c -> c.text().equals("echo:" + c.body()));
  }

  @Then("at most {int} in {int} calls was refused")
  public void fewRefused(int refused, int of) {
    long failed = world.calls().stream().filter(c -> !c.answered()).count();
    assertThat(failed * of)
        .as("refused of %d: %s", world.calls().size(), refusals())
        .isLessThanOrEqualTo((long) refused * world.calls().size());
  }

  @Then("no call has run more than once")
  public void ranOnce() {
    Map<String, Long> counts = world.plainRuns().collect(groupingBy(Run::getBody, counting()));
    assertThat(counts).isNotEmpty();
    assertThat(counts.values()).allMatch(n -> n == 1);
  }

  @Then("no call that was refused as not run has run")
  public void notRunCallsHaveNotRun() {
    Set<String> run = world.plainRuns().map(Run::getBody).collect(Collectors.toSet());
    assertThat(bodiesByRunState("not-run")).doesNotContainAnyElementsOf(run);
  }

  @Then("some calls were refused as not run")
  public void someNotRun() {
    assertThat(bodiesByRunState("not-run")).isNotEmpty();
  }

  @Then("some calls were refused as maybe run")
  public void someMaybeRun() {
    assertThat(bodiesByRunState("maybe-run")).isNotEmpty();
  }

  @When("a long answer streams to {string} at {string}")
  public void longAnswer(String organisation, String entry) {
    longAnswers(1, organisation, entry);
  }

  @When("{int} long answers stream to {string} at {string}")
  public void longAnswers(int count, String organisation, String entry) {
    for (int i = 0; i < count; i++) {
      streams.add(CompletableFuture.supplyAsync(() -> streamOnce(organisation, entry), threads));
    }
    ProcessCluster.pause(700);
  }

  @Then("all {int} answers are complete")
  public void assertAnswersComplete(int count) {
    assertThat(streams).hasSize(count);
    assertThat(streams.stream().map(CompletableFuture::join))
        .allMatch(t -> t.contains("\"done\":true"));
  }

  @Then("the open answer is cut within {int} seconds")
  public void assertOpenAnswerCut(int seconds) {
    ProcessCluster.await(
        "the open answer to be cut", seconds * 1_000L, () -> streams.get(0).isDone());
    assertOpenAnswerIncomplete();
  }

  @Then("the open answer ends incomplete")
  public void assertOpenAnswerIncomplete() {
    assertThat(streams.get(0).join()).startsWith("failed").doesNotContain("\"done\":true");
  }

  private void restartGracefully(String entry) {
    world.cluster().process(entry).terminate();
    assertThat(world.cluster().process(entry).awaitExit()).isTrue();
    world.cluster().process(entry).restart();
    ProcessCluster.await(
        entry + " ready",
        () -> world.cluster().answers(world.cluster().operatorAddress(entry), "/ready"));
  }

  /** Makes calls during an event, only to ready instances as a load balancer does. */
  private void underLoad(String service, Runnable event) {
    long begun = System.nanoTime();
    List<CompletableFuture<Void>> load =
        IntStream.range(0, LOAD_THREADS)
            .mapToObj(
                i ->
                    async(
                        () -> {
                          while (eventInProgress(begun)) {
                            callOnce(readyEntry(i), service);
                            ProcessCluster.pause(10);
                          }
                        }))
            .toList();
    ProcessCluster.pause(1_000);
    event.run();
    ProcessCluster.pause(2_000);
    eventOver = true;
    load.forEach(CompletableFuture::join);
  }

  private boolean eventInProgress(long begun) {
    return !eventOver && System.nanoTime() - begun < 120_000_000_000L;
  }

  /** Returns the first ready entry instance from an index on, or the first one if none is. */
  private String readyEntry(int firstIndex) {
    for (int i = 0; i < World.ENTRIES.size(); i++) {
      String entry = World.ENTRIES.get((firstIndex + i) % World.ENTRIES.size());
      if (world.cluster().answers(world.cluster().operatorAddress(entry), "/ready")) {
        return entry;
      }
    }
    return World.ENTRIES.get(0);
  }

  private void callOnce(String entry, String service) {
    record(entry, "/v1/" + service + "/call", TUUL_KEY, nextBody());
  }

  private void record(String entry, String path, String key, String body, Header... headers) {
    try {
      HttpResponse answer = world.cluster().call(entry, path, key, body, headers);
      world
          .calls()
          .add(
              new World.CallResult(
                  body,
                  answer.status(),
                  answer.text(),
                  answer.header("Marigoldmill-Run").orElse("")));
    } catch (HttpCallException e) {
      world.calls().add(new World.CallResult(body, 0, e.getMessage(), "unknown"));
    }
  }

  private String streamOnce(String organisation, String entry) {
    GenerateRequest request =
        GenerateRequest.newBuilder()
            .setRequestId("long-" + ids.incrementAndGet())
            .setModel("assistant")
            .setPrompt(longPrompt())
            .setMaxTokens(LONG_ANSWER_TOKENS)
            .build();
    try {
      return world
          .cluster()
          .call(
              entry,
              "/v1/assistant/generate",
              World.key(organisation),
              new String(ProtoJson.bytes(request), UTF_8))
          .text();
    } catch (HttpCallException e) {
      return "failed: " + e.getMessage();
    }
  }

  /** Returns a prompt that the engine stand-in answers at full length: its hash is 95 or more. */
  private static String longPrompt() {
    return IntStream.iterate(0, i -> i + 1)
        .mapToObj(i -> "long" + i)
        .filter(p -> Math.floorMod((p + 0).hashCode() * 31, 100) >= 95)
        .findFirst()
        .orElseThrow();
  }

  private List<String> bodiesByRunState(String run) {
    return world.calls().stream()
        .filter(c -> c.run().equals(run))
        .map(World.CallResult::body)
        .toList();
  }

  private List<String> refusals() {
    return world.calls().stream()
        .filter(c -> !c.answered())
        .map(c -> c.status() + " " + c.text())
        .distinct()
        .limit(5)
        .toList();
  }

  private String nextBody() {
    return "call-" + ids.incrementAndGet();
  }

  private CompletableFuture<Void> async(Runnable work) {
    return CompletableFuture.runAsync(work, threads);
  }
}
