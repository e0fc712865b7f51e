package org.marigoldmill.cli.promises;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.Before;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import org.marigoldmill.cli.process.ExampleDeclaration;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.schema.operator.PublishOutcome;
import org.marigoldmill.schema.standin.Fault;
import org.marigoldmill.schema.standin.FaultKind;

/** Steps that start the system and inject faults. */
public final class SystemSteps {
  private static final int UPSTREAMS = 6;

  private final World world;
  private boolean separateZones;

  public SystemSteps(World world) {
    this.world = world;
  }

  @Before
  public void prepare(Scenario scenario) {
    world.cluster(new ProcessCluster(scenario.getName()));
  }

  @After
  public void stop() {
    world.cluster().close();
  }

  @Given("the system")
  public void theSystem() {
    start();
  }

  @Given("the system with zones that can be cut off from each other")
  public void theSystemWithSeparateZones() {
    separateZones = true;
    start();
    world.cluster().fillInstanceList("b");
    world.cluster().awaitReady(UPSTREAMS);
    ProcessCluster.pause(2_000);
  }

  @Given("the zones are cut off from each other")
  public void cutOffZones() {
    world.cluster().cutZoneLinks();
    ProcessCluster.pause(3_000);
  }

  @Given("the zones reach each other again")
  public void healZones() {
    world.cluster().healZoneLinks();
  }

  @Given("zone {string} reaches the platform again")
  public void healPlatform(String zone) {
    world.cluster().healPlatform(zone);
  }

  @Given("the system with a log that keeps {int} records")
  public void theSystemWithRecordLimit(int records) {
    start("retention_records = " + records);
  }

  @Given("{string} refuses {int} request(s) to {string}")
  public void refuses(String standin, int count, String path) {
    fault(standin, FaultKind.OUTAGE, count, path);
  }

  @Given("{string} refuses all requests to {string}")
  public void refusesAll(String standin, String path) {
    fault(standin, FaultKind.OUTAGE, 0, path);
  }

  @Given("{string} works again")
  public void clearFault(String standin) {
    fault(standin, FaultKind.NONE, 0, "");
  }

  @Given("{string} loses the answers to {int} request(s) to {string}")
  public void losesAnswers(String standin, int count, String path) {
    fault(standin, FaultKind.DROP_ANSWER, count, path);
  }

  @Given("{string} loses the answer to the next order")
  public void losesOrderAnswer(String standin) {
    world
        .cluster()
        .injectFault(
            standin,
            Fault.newBuilder()
                .setKind(FaultKind.DROP_ANSWER)
                .setCount(1)
                .setBodyContains("idempotencyKey"));
  }

  @Given("{string} loses the answers to {int} request(s)")
  public void losesAnswers(String standin, int count) {
    fault(standin, FaultKind.DROP_ANSWER, count, "/call");
  }

  @Given("{string} delays {int} request(s) to {string} by {int} milliseconds")
  public void delays(String standin, int count, String path, int ms) {
    world
        .cluster()
        .injectFault(
            standin,
            Fault.newBuilder()
                .setKind(FaultKind.DELAY)
                .setCount(count)
                .setPath(path)
                .setDelayMs(ms));
  }

  @Given("{string} crosses the answers to {int} requests")
  public void swapsAnswers(String standin, int count) {
    fault(standin, FaultKind.CROSS, count, "/call");
  }

  @Given("{string} cuts the answers to all requests")
  public void cutsAnswers(String standin) {
    fault(standin, FaultKind.CUT, 0, "/generate");
  }

  @Given("{string} crashes on requests that contain {string}")
  public void crashes(String standin, String text) {
    world
        .cluster()
        .injectFault(
            standin,
            Fault.newBuilder().setKind(FaultKind.CRASH).setPath("/call").setBodyContains(text));
  }

  @Given("{int} more upstreams of pool {string} in zone {string}")
  public void startMoreUpstreams(int count, String pool, String zone) {
    for (int i = 2; i < count + 2; i++) {
      world.cluster().startUpstream("plain", pool + "-" + zone + i, zone, pool, "token_ms = 2");
    }
    world.cluster().awaitReady(UPSTREAMS + count);
  }

  @Given("all open connections to {string} go silent")
  public void silenceOpenConnections(String upstream) {
    world.cluster().upstreamRelay(upstream).silenceOpenConnections();
  }

  @Given("{string} is reached through a relay")
  public void relayToUpstream(String upstream) {
    world.cluster().relayToUpstream(upstream);
    ProcessCluster.pause(2_000);
  }

  @Given("{int} seconds pass")
  public void secondsPass(int seconds) {
    ProcessCluster.pause(seconds * 1_000L);
  }

  @Given("{string} is frozen")
  public void freeze(String process) {
    world.cluster().process(process).freeze();
  }

  @Given("{string} is resumed")
  public void resume(String process) {
    world.cluster().process(process).resume();
    ProcessCluster.pause(2_000);
  }

  @Given("{string} is marked as leaving")
  public void markAsLeaving(String instance) {
    world.cluster().postEmpty("instances", "/leaving?name=" + instance);
    ProcessCluster.pause(2_000);
  }

  @Given("{string} is killed")
  public void kill(String process) {
    world.cluster().process(process).kill();
  }

  @Given("{string} is killed and started again")
  public void killAndRestart(String process) {
    world.cluster().process(process).kill();
    world.cluster().process(process).restart();
  }

  @Given("zone {string} is cut off from the platform")
  public void cutOffPlatform(String zone) {
    world.cluster().cutPlatform(zone);
  }

  @Given("{string} receives SIGTERM")
  public void terminate(String process) {
    world.cluster().process(process).terminate();
  }

  @Then("{string} has exited with code 0")
  public void assertExitedNormally(String process) {
    assertThat(world.cluster().process(process).awaitExit()).isTrue();
    assertThat(world.cluster().process(process).exitCode()).isZero();
  }

  private void fault(String standin, FaultKind kind, int count, String path) {
    world
        .cluster()
        .injectFault(standin, Fault.newBuilder().setKind(kind).setCount(count).setPath(path));
  }

  private void start(String... logSettings) {
    ProcessCluster cluster = world.cluster();
    cluster.startPlatform(logSettings);
    if (separateZones) {
      cluster.startInstanceList("b");
    }
    for (String zone : new String[] {"a", "b"}) {
      cluster.startUpstream("plain", "records-" + zone + "1", zone, "records", "token_ms = 2");
      cluster.startUpstream("engine", "engine-" + zone + "1", zone, "lm", "token_ms = 4");
    }
    cluster.startUpstream("engine", "engine-a2", "a", "lm", "token_ms = 4");
    cluster.startUpstream("scoring", "scoring-a1", "a", "scoring");
    String snapshots = "snapshot_every_records = 20";
    cluster.entry("a1", "a", snapshots).entry("a2", "a", snapshots).entry("b1", "b", snapshots);
    var reply =
        cluster.publish(
            ExampleDeclaration.declaration(0, cluster.standinAddress("weights")).build());
    assertThat(reply.getOutcome()).isIn(PublishOutcome.IN_FORCE, PublishOutcome.ACCEPTED);
    if (!separateZones) {
      cluster.awaitReady(UPSTREAMS);
    }
    ProcessCluster.await(
        "holders of ordering/a and billing/a",
        () -> !world.holder("ordering/a").isEmpty() && !world.holder("billing/a").isEmpty());
  }
}
