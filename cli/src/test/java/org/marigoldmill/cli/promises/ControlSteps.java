package org.marigoldmill.cli.promises;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.core.key.KeyDirectory;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.operator.PublishOutcome;
import org.marigoldmill.schema.operator.PublishReply;
import org.marigoldmill.schema.operator.ShownConfig;
import org.marigoldmill.schema.operator.ShownLeases;
import org.marigoldmill.schema.operator.WithdrawRequest;
import org.marigoldmill.schema.platform.InstanceList;
import org.marigoldmill.schema.platform.OrderList;
import org.marigoldmill.schema.platform.OrderRequest;
import org.marigoldmill.schema.platform.PlacedOrder;
import org.marigoldmill.schema.platform.ReadReply;
import org.marigoldmill.schema.platform.ReportList;
import org.marigoldmill.schema.platform.UsageReport;

/** Steps about configuration, keys, leases, upstream orders and usage reports. */
public final class ControlSteps {
  private static final long LEASE_HANDOVER_TIMEOUT_MS = 20_000;

  private final World world;
  private List<PublishReply> concurrentReplies = List.of();

  public ControlSteps(World world) {
    this.world = world;
  }

  @When("the key of {string} is withdrawn at {string}")
  public void withdraw(String organisation, String entry) {
    WithdrawRequest request =
        WithdrawRequest.newBuilder().addSha256(KeyDirectory.hash(World.key(organisation))).build();
    HttpCall call =
        HttpCall.post(
                world.cluster().operatorAddress(entry), "/withdrawal", ProtoJson.bytes(request))
            .timeouts(1_000, 30_000, 30_000);
    var unused = CompletableFuture.runAsync(() -> world.cluster().client().exchange(call));
  }

  @When("a declaration without the key of {string} is published at {string}")
  public void publishWithoutKey(String organisation, String entry) {
    Declaration.Builder next = currentDeclaration(entry);
    next.getOrganisationsBuilderList().stream()
        .filter(o -> o.getName().equals(organisation))
        .forEach(o -> o.clearKeys());
    var unused = CompletableFuture.runAsync(() -> world.cluster().publishAt(entry, next.build()));
  }

  @Then("within {int} seconds the key of {string} is refused at {string}")
  public void refusedAt(int seconds, String organisation, String entries) {
    for (String entry : splitNames(entries)) {
      ProcessCluster.await(
          "the key to be refused at " + entry,
          seconds * 1_000L,
          () ->
              world.cluster().call(entry, "/v1/lookups/call", World.key(organisation), "x").status()
                  == 401);
    }
  }

  @Then("within {int} seconds calls to {string} by {string} are answered with {int} at {string}")
  public void answeredWith(
      int seconds, String service, String organisation, int status, String entry) {
    ProcessCluster.await(
        "calls to " + service + " to be answered with " + status,
        seconds * 1_000L,
        () ->
            world
                    .cluster()
                    .call(entry, "/v1/" + service + "/call", World.key(organisation), "x")
                    .status()
                == status);
  }

  @Then("after {string} is resumed the withdrawal is in the log")
  public void withdrawalInLog(String log) {
    world.cluster().process(log).resume();
    ProcessCluster.await(
        "the withdrawal to be in the log",
        () ->
            !world
                .cluster()
                .read(log, "/records?from=1", ReadReply.getDefaultInstance())
                .getRecordsList()
                .stream()
                .map(r -> parse(r.getBody()))
                .filter(LogRecord::hasWithdrawal)
                .toList()
                .isEmpty());
  }

  @When("pool {string} in zone {string} is declared with at least {int} upstreams")
  public void declareMin(String pool, String zone, int min) {
    Declaration.Builder next = currentDeclaration(world.anyEntry());
    next.getPoolsBuilderList().stream()
        .filter(p -> p.getName().equals(pool) && p.getZone().equals(zone))
        .forEach(p -> p.setMin(min));
    PublishReply reply = world.cluster().publishAt(world.anyEntry(), next.build());
    assertThat(reply.getOutcome()).isIn(PublishOutcome.IN_FORCE, PublishOutcome.ACCEPTED);
  }

  @When("pool {string} in zone {string} has {int} upstreams")
  public void hasUpstreams(String pool, String zone, int count) {
    ProcessCluster.await(
        count + " upstreams of " + pool, () -> countUpstreams(pool, zone) >= count);
    ProcessCluster.pause(3_000);
    assertThat(countUpstreams(pool, zone)).isEqualTo(count);
  }

  @When("the holder of {string} is frozen until another holds it")
  public void freezeHolder(String scope) {
    String holder = world.holder(scope);
    world.cluster().process(holder).freeze();
    world.frozenHolder(holder);
    ProcessCluster.await(
        "another holder of " + scope,
        LEASE_HANDOVER_TIMEOUT_MS,
        () -> !world.holder(scope).equals(holder) && !world.holder(scope).isEmpty());
  }

  @When("the frozen holder is resumed")
  public void resumeHolder() {
    world.cluster().process(world.frozenHolder()).resume();
    world.frozenHolder("");
    ProcessCluster.pause(2_000);
  }

  @When("the holder of {string} is killed")
  public void killHolder(String scope) {
    world.cluster().process(world.holder(scope)).kill();
  }

  @When("the holder of {string} is restarted")
  public void restartHolder(String scope) {
    String holder = world.holder(scope);
    world.cluster().process(holder).terminate();
    assertThat(world.cluster().process(holder).awaitExit()).isTrue();
    world.cluster().process(holder).restart();
  }

  @When("an order intent of {string} is open")
  public void intentOpen(String scope) {
    ProcessCluster.await(
        "an open intent of " + scope,
        () ->
            shownLeases().getIntentsList().stream()
                .anyMatch(i -> i.getIntent().getScope().equals(scope) && !i.hasOutcome()));
  }

  @Then("{int} upstreams were ordered")
  public void ordered(int count) {
    assertThat(
            placedOrders().stream()
                .map(PlacedOrder::getRequest)
                .filter(r -> r.getReleaseUpstream().isEmpty())
                .mapToInt(OrderRequest::getCount)
                .sum())
        .isEqualTo(count);
  }

  @Then("no order came from a process that no longer held the lease")
  public void ordersFromHoldersOnly() {
    List<PlacedOrder> received =
        world
            .cluster()
            .read("ordering", "/received", OrderList.getDefaultInstance())
            .getOrdersList();
    assertThat(received).isNotEmpty();
    assertFencingNeverDecreases(
        received.stream()
            .map(PlacedOrder::getRequest)
            .map(r -> new FencedRequest(r.getScope(), r.getProcess(), r.getFencing())));
  }

  @Then("no report came from a process that no longer held the lease")
  public void reportsFromHoldersOnly() {
    assertFencingNeverDecreases(
        billingReports().getReportsList().stream()
            .map(r -> new FencedRequest(r.getScope(), r.getProcess(), r.getFencing())));
  }

  @Then("no window was reported with differing figures")
  public void sameFigures() {
    Map<String, UsageReport> first = new HashMap<>();
    for (UsageReport report : billingReports().getReportsList()) {
      UsageReport known = first.putIfAbsent(report.getScope() + "/" + report.getWindow(), report);
      if (known != null) {
        assertThat(report.getUsageList()).isEqualTo(known.getUsageList());
        assertThat(report.getLateList()).isEqualTo(known.getLateList());
      }
    }
  }

  @Then("within {int} seconds the reported requests equal the answered calls")
  public void reportsEqual(int seconds) {
    long answered = world.calls().stream().filter(World.CallResult::answered).count();
    ProcessCluster.await(
        "usage reports of " + answered + " requests",
        seconds * 1_000L,
        () -> reportedRequests() == answered);
  }

  @When("declarations are published at {string} and {string} against the same revision")
  public void racePublications(String one, String other) {
    Declaration.Builder first = currentDeclaration(one);
    Declaration.Builder second = first.build().toBuilder();
    first.getOrganisationsBuilder(0).setWeight(2);
    second.getOrganisationsBuilder(0).setWeight(3);
    var a = CompletableFuture.supplyAsync(() -> world.cluster().publishAt(one, first.build()));
    var b = CompletableFuture.supplyAsync(() -> world.cluster().publishAt(other, second.build()));
    concurrentReplies = List.of(a.join(), b.join());
  }

  @Then("exactly one is accepted and the other is refused with a conflict")
  public void oneAccepted() {
    assertThat(concurrentReplies)
        .extracting(PublishReply::getOutcome)
        .containsExactlyInAnyOrder(PublishOutcome.IN_FORCE, PublishOutcome.CONFLICT);
  }

  @Given("a second revision is published at {string}")
  public void secondRevision(String entry) {
    Declaration.Builder next = currentDeclaration(entry);
    next.getOrganisationsBuilder(0).setWeight(2);
    PublishReply reply = world.cluster().publishAt(entry, next.build());
    assertThat(reply.getOutcome()).isIn(PublishOutcome.IN_FORCE, PublishOutcome.ACCEPTED);
  }

  @When("{int} records have been appended")
  public void appended(int count) {
    ProcessCluster.await(
        "more than " + count + " records to be appended",
        60_000,
        () ->
            world.cluster().shown("a1", "config", ShownConfig.getDefaultInstance()).getNextOffset()
                > count);
  }

  @Then("within {int} seconds {string} have the same revision in force")
  public void sameRevision(int seconds, String entries) {
    long newest = splitNames(entries).stream().mapToLong(this::revisionOrZero).max().orElse(0);
    assertThat(newest).isPositive();
    for (String entry : splitNames(entries)) {
      ProcessCluster.await(
          "revision " + newest + " to be in force at " + entry,
          seconds * 1_000L,
          () -> world.revision(entry) == newest);
    }
  }

  /** An order or report as received, with the fencing number of its sender. */
  private record FencedRequest(String scope, String process, long fencing) {}

  /** Asserts that fencing numbers never decrease and that each belongs to one process only. */
  private static void assertFencingNeverDecreases(Stream<FencedRequest> effects) {
    Map<String, FencedRequest> last = new HashMap<>();
    effects.forEach(
        e -> {
          FencedRequest before = last.put(e.scope(), e);
          if (before != null) {
            assertThat(e.fencing())
                .as("%s after %s", e, before)
                .isGreaterThanOrEqualTo(before.fencing());
            assertThat(e.fencing() == before.fencing())
                .isEqualTo(e.process().equals(before.process()));
          }
        });
  }

  private long revisionOrZero(String entry) {
    try {
      return world.revision(entry);
    } catch (RuntimeException e) {
      return 0;
    }
  }

  private Declaration.Builder currentDeclaration(String entry) {
    ShownConfig shown = world.cluster().shown(entry, "config", ShownConfig.getDefaultInstance());
    return shown.getDeclaration().toBuilder().setAgainstRevision(shown.getRevision());
  }

  private long countUpstreams(String pool, String zone) {
    return world
        .cluster()
        .read("instances", "/instances", InstanceList.getDefaultInstance())
        .getInstancesList()
        .stream()
        .filter(i -> i.getPool().equals(pool) && i.getZone().equals(zone))
        .count();
  }

  private ShownLeases shownLeases() {
    return world.cluster().shown(world.anyEntry(), "leases", ShownLeases.getDefaultInstance());
  }

  private List<PlacedOrder> placedOrders() {
    return world
        .cluster()
        .read("ordering", "/orders", OrderList.getDefaultInstance())
        .getOrdersList();
  }

  private ReportList billingReports() {
    return world.cluster().read("billing", "/reports", ReportList.getDefaultInstance());
  }

  private long reportedRequests() {
    return billingReports().getDistinctList().stream()
        .flatMap(r -> r.getUsageList().stream())
        .mapToLong(Usage::getRequests)
        .sum();
  }

  private static LogRecord parse(com.google.protobuf.ByteString body) {
    try {
      return LogRecord.parseFrom(body);
    } catch (com.google.protobuf.InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Splits a comma-separated list of names. */
  static List<String> splitNames(String list) {
    return Arrays.stream(list.split(", *", -1)).toList();
  }
}
