package org.marigoldmill.cli.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.EVENTS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.ITEMS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.MAPPER;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.cli.process.Relay;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.server.Pause;

/** End-to-end tests of two deployed instances, with stand-ins for the store and the engines. */
class DeploymentIT {
  /** Time in which an instance notifies the other of a crash. */
  private static final long CRASH_NOTICE_MS = 50;

  /** Time in which an instance finds out that an upstream has crashed. */
  private static final long CRASH_DETECTION_MS = 500;

  /** Time in which a configuration takes effect at instances that reach the store. */
  private static final long CONFIG_APPLY_MS = 2_000;

  /** More than the time for which an instance lets a read wait at the store. */
  private static final long READ_PERIOD_MS = 2_500;

  private DeploymentCluster cluster;

  @BeforeEach
  void start() {
    cluster = new DeploymentCluster();
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Nested
  class Submissions {
    @Test
    void should_give_every_result_once_when_the_instance_that_accepted_it_is_killed() {
      // GIVEN
      HttpResponse accepted = cluster.post(0, "/batch/s1", "s1", DeploymentCluster.submission());
      assertThat(accepted.status()).isEqualTo(202);
      assertThat(cluster.post(1, "/batch/s1", "s1", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      DeploymentCluster.await(() -> cluster.results(1, "s1", 0).get("next").asInt() > 0);
      final JsonNode seen = cluster.results(0, "s1", 0).get("results");
      // WHEN
      cluster.instances.get(0).kill();
      // THEN
      DeploymentCluster.await(() -> cluster.results(1, "s1", 0).get("next").asInt() == ITEMS);
      JsonNode all = cluster.results(1, "s1", 0).get("results");
      for (int i = 0; i < seen.size(); i++) {
        assertThat(all.get(i)).isEqualTo(seen.get(i));
      }
      TreeMap<String, JsonNode> byItem = new TreeMap<>();
      all.forEach(r -> byItem.put(r.get("id").asText(), r));
      assertThat(byItem).hasSize(ITEMS);
      byItem.forEach(
          (item, result) -> {
            assertThat(result.get("state").asText()).isEqualTo("completed");
            assertThat(result.get("text").asText()).isEqualTo(EngineStandin.completeText(EVENTS));
            assertThat(result.get("versions").toString()).isEqualTo("[1]");
            assertThat(result.get("score").asText())
                .isEqualTo(EngineStandin.score("reward-" + item));
          });
    }

    @Test
    void should_go_on_when_all_instances_were_killed() {
      // GIVEN
      assertThat(cluster.post(0, "/batch/s6", "s6", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      DeploymentCluster.await(() -> cluster.results(0, "s6", 0).get("next").asInt() > 0);
      final JsonNode seen = cluster.results(0, "s6", 0).get("results");
      // WHEN
      cluster.killInstances();
      cluster.startInstances("three", "four");
      // THEN
      DeploymentCluster.await(() -> cluster.results(0, "s6", 0).get("next").asInt() == ITEMS);
      JsonNode all = cluster.results(1, "s6", 0).get("results");
      for (int i = 0; i < seen.size(); i++) {
        assertThat(all.get(i)).isEqualTo(seen.get(i));
      }
      assertThat(all).extracting(r -> r.get("id").asText()).doesNotHaveDuplicates();
    }

    @Test
    void should_read_partitions_only_at_the_owner_of_the_model_when_nobody_asks() {
      // GIVEN
      assertThat(cluster.post(0, "/batch/s9", "s9", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      DeploymentCluster.await(() -> cluster.results(1, "s9", 0).get("next").asInt() == ITEMS);
      // WHEN, THEN
      DeploymentCluster.await(() -> peakOfWaitingReads() == StoreStandin.PARTITIONS);
    }

    private int peakOfWaitingReads() {
      cluster.store.takePeakWaitingReads("keyed.submissions");
      Pause.millis(READ_PERIOD_MS);
      return cluster.store.takePeakWaitingReads("keyed.submissions");
    }

    @Test
    void should_report_no_submission_as_absent_when_the_store_is_unavailable() {
      // GIVEN
      assertThat(cluster.post(0, "/batch/s7", "s7", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      DeploymentCluster.await(() -> cluster.results(0, "s7", 0).get("next").asInt() == ITEMS);
      // WHEN
      cluster.store.unavailable(true);
      DeploymentCluster.await(() -> !cluster.isReady(cluster.instances.get(0)));
      // THEN: known results are served, and an unknown submission is not reported as absent
      assertThat(cluster.request(0, "GET", "/-/lots/s7?after=0").status()).isIn(200, 503);
      assertThat(cluster.request(0, "GET", "/-/lots/s7?after=" + ITEMS).status()).isIn(200, 503);
      assertThat(cluster.request(0, "GET", "/-/lots/unknown?after=0").status()).isEqualTo(503);
      assertThat(cluster.post(0, "/batch/s8", "s8", DeploymentCluster.submission()).status())
          .isEqualTo(503);
      assertThat(cluster.call("/app/x", "key").status()).isEqualTo(200);
      // WHEN
      cluster.store.unavailable(false);
      // THEN
      DeploymentCluster.await(() -> cluster.isReady(cluster.instances.get(0)));
      DeploymentCluster.await(
          () -> cluster.request(0, "GET", "/-/lots/unknown?after=0").status() == 404);
      assertThat(cluster.results(0, "s7", 0).get("next").asInt()).isEqualTo(ITEMS);
      assertThat(cluster.request(0, "GET", "/-/lots/s8?after=0").status()).isEqualTo(404);
    }

    @Test
    void should_run_no_more_items_when_the_submission_has_ended() {
      // GIVEN
      assertThat(cluster.post(0, "/batch/s2", "s2", DeploymentCluster.submission("ended")).status())
          .isEqualTo(202);
      assertThat(cluster.item(1, "s2", "ended-11").text()).isEqualTo("body of ended-11");
      // WHEN
      assertThat(cluster.request(1, "DELETE", "/-/lots/s2").status()).isEqualTo(200);
      DeploymentCluster.await(() -> cluster.request(0, "DELETE", "/-/lots/s2").status() == 200);
      // THEN: both instances have read the end once a later submission has its first result
      assertThat(cluster.post(0, "/batch/s3", "s3", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      DeploymentCluster.await(() -> cluster.results(0, "s3", 0).get("next").asInt() > 0);
      final long runs = runsOf("ended");
      DeploymentCluster.await(() -> cluster.results(0, "s3", 0).get("next").asInt() == ITEMS);
      assertThat(runsOf("ended")).isEqualTo(runs).isLessThan(ITEMS);
    }

    private long runsOf(String prefix) {
      return cluster.engine.startedRequests().stream()
          .filter(r -> r.startsWith(prefix))
          .distinct()
          .count();
    }

    @Test
    void should_still_complete_an_item_when_upstreams_have_crashed_under_its_reward_call() {
      // GIVEN
      ObjectNode submission = DeploymentCluster.submission("unlucky");
      ArrayNode items = (ArrayNode) submission.get("items");
      while (items.size() > 1) {
        items.remove(1);
      }
      ((ObjectNode) items.get(0).get("scorer")).put("path", "/crash/poison");
      List<EngineStandin> engines = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        engines.add(new EngineStandin("c-" + i, "", 0, 0));
        cluster.store.put("servers", "c-" + i, engines.get(i).entry("crash"));
      }
      assertThat(cluster.post(0, "/batch/s12", "s12", submission).status()).isEqualTo(202);
      DeploymentCluster.await(() -> engines.stream().allMatch(e -> !e.startedRequests().isEmpty()));
      ProcessCluster.pause(CRASH_DETECTION_MS);
      // WHEN
      EngineStandin sound = new EngineStandin("c-2", "", 0, 0);
      sound.bearsPoison();
      cluster.store.put("servers", "c-2", sound.entry("crash"));
      // THEN
      DeploymentCluster.await(() -> cluster.results(1, "s12", 0).get("next").asInt() == 1);
      assertThat(cluster.results(1, "s12", 0).get("results").get(0).get("state").asText())
          .isEqualTo("completed");
      sound.close();
    }

    @Test
    void should_know_only_submissions_of_the_callers_organisation() {
      assertThat(cluster.post(0, "/batch/s4", "s4", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      assertThat(cluster.request(1, "GET", "/-/lots/s4?after=0").status()).isEqualTo(200);
      assertThat(cluster.request(1, "GET", "/-/lots/unknown?after=0").status()).isEqualTo(404);
      assertThat(
              cluster
                  .request(
                      cluster.instances.get(1).callerAddress(),
                      "GET",
                      "/-/lots/s4?after=0",
                      "",
                      "other-key")
                  .status())
          .isEqualTo(404);
    }
  }

  @Nested
  class Signals {
    @Test
    void should_go_on_when_it_is_told_that_its_settings_have_changed() {
      // WHEN
      cluster.instances.get(0).process().sendHangUp();
      DeploymentCluster.await(
          () -> cluster.instances.get(0).process().output().contains("settings read again"));
      // THEN
      assertThat(
              cluster
                  .request(cluster.instances.get(0).readinessAddress(), "GET", "/-/readyz", "", "")
                  .status())
          .isEqualTo(200);
    }

    @Test
    void should_end_with_code_0_and_lose_nothing_when_it_is_stopped() {
      // GIVEN
      assertThat(cluster.post(0, "/batch/s9", "s9", DeploymentCluster.submission()).status())
          .isEqualTo(202);
      // WHEN
      cluster.instances.get(0).process().terminate();
      // THEN
      assertThat(cluster.instances.get(0).process().awaitExit()).isTrue();
      assertThat(cluster.instances.get(0).process().exitCode()).isEqualTo(0);
      DeploymentCluster.await(() -> cluster.results(1, "s9", 0).get("next").asInt() == ITEMS);
    }
  }

  @Nested
  class Weights {
    @Test
    void should_order_each_named_version_once_and_by_one_holder_at_a_time() {
      // WHEN
      for (int version = 2; version <= 4; version++) {
        cluster.store.put(
            "op", "version/m", MAPPER.createObjectNode().put("model", "m").put("version", version));
        int wanted = version;
        DeploymentCluster.await(
            () -> cluster.engine.orders().stream().anyMatch(o -> o.version() == wanted));
      }
      // THEN
      assertThat(cluster.engine.orders())
          .extracting(EngineStandin.Order::version)
          .containsExactly(2L, 3L, 4L);
      assertThat(
              new TreeSet<>(
                  cluster.engine.orders().stream().map(EngineStandin.Order::fence).toList()))
          .hasSize(1);
    }
  }

  @Nested
  class Configuration {
    @Test
    void should_refuse_no_new_route_when_the_path_to_the_store_is_cut() {
      // GIVEN
      try (Relay relay = new Relay(cluster.store.address())) {
        cluster.startInstancesAt(relay.address(), "three");
        int cutOff = cluster.instances.size() - 1;
        assertThat(cluster.request(cutOff, "GET", "/new/x").status()).isEqualTo(404);
        // WHEN
        relay.cut();
        cluster.store.put("op", "config", DeploymentCluster.configWithNewRoute(2));
        ProcessCluster.pause(CONFIG_APPLY_MS);
        // THEN
        assertThat(cluster.request(cutOff, "GET", "/new/x").status()).isEqualTo(503);
        assertThat(cluster.requestWithKey(cutOff, "/app/x", "new-key").status()).isEqualTo(503);
        assertThat(cluster.requestWithKey(cutOff, "/app/x", "key").status()).isEqualTo(200);
        // WHEN
        relay.heal();
        // THEN
        DeploymentCluster.await(
            () -> cluster.requestWithKey(cutOff, "/new/x", "key").status() == 200);
        assertThat(cluster.request(cutOff, "GET", "/nowhere").status()).isEqualTo(404);
      }
    }
  }

  @Nested
  class OutdatedConfiguration {
    private static final String SUBMISSION = "outdated-owner";

    @Test
    void should_ask_to_retry_when_a_newer_version_may_allow_what_the_old_one_refuses() {
      // GIVEN
      try (Relay relay = new Relay(cluster.store.address())) {
        cluster.startInstancesAt(relay.address(), "four");
        int cutOff = cluster.instances.size() - 1;
        String address = cluster.instances.get(cutOff).callerAddress();
        byte[] large = new byte[DeploymentCluster.BODY_BYTES + 1];
        String read = "/-/lots/" + SUBMISSION + "?after=0";
        DeploymentCluster.await(
            () ->
                cluster
                        .post(cutOff, "/batch/x", SUBMISSION, DeploymentCluster.submission("owned"))
                        .status()
                    == 202);
        assertThat(cluster.send(address, "POST", "/app/x", "large", "key", large).status())
            .isEqualTo(413);
        assertThat(cluster.request(address, "GET", read, "", "other-key").status()).isEqualTo(404);
        // WHEN
        relay.cut();
        ProcessCluster.pause(CONFIG_APPLY_MS);
        // THEN
        assertThat(cluster.send(address, "POST", "/app/x", "large", "key", large).status())
            .isEqualTo(503);
        assertThat(cluster.request(address, "GET", read, "", "other-key").status()).isEqualTo(503);
      }
    }
  }

  @Nested
  class Calls {
    @Test
    void should_pass_a_call_on_and_refuse_what_the_configuration_does_not_allow() {
      assertThat(cluster.call("/app/x", "key").text()).isEqualTo("answer");
      assertThat(cluster.call("/app/x", "wrong").status()).isEqualTo(401);
      assertThat(cluster.call("/nowhere", "key").status()).isEqualTo(404);
    }

    @Test
    void should_pass_every_event_once_when_the_engine_breaks_off_inside_one() {
      HttpResponse stream = cluster.call("/gen/broken", "key");
      assertThat(stream.status()).isEqualTo(200);
      StringBuilder whole = new StringBuilder();
      for (int i = 1; i <= EVENTS; i++) {
        whole.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
      }
      assertThat(stream.text()).isEqualTo(whole.toString());
    }

    @Test
    void should_resume_the_stream_elsewhere_when_it_only_sends_a_byte_now_and_then() {
      HttpResponse stream = cluster.call("/gen/stalled", "key");
      assertThat(stream.status()).isEqualTo(200);
      assertThat(stream.text()).startsWith("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n");
      assertThat(stream.text()).endsWith("data: piece " + EVENTS + "\n\n");
    }

    @Test
    void should_cut_the_run_when_the_caller_has_left() throws IOException {
      // GIVEN
      URI caller = URI.create("http://" + cluster.instances.get(0).callerAddress());
      String head = "GET /gen/endless HTTP/1.1\r\nHost: h\r\nApi-Key: key\r\n";
      try (Socket socket = new Socket(caller.getHost(), caller.getPort())) {
        socket.getOutputStream().write((head + "X-Attempt-Id: left\r\n\r\n").getBytes(UTF_8));
        DeploymentCluster.await(() -> cluster.engine.startedRequests().contains("left"));
        // WHEN: the connection is closed here
      }
      // THEN
      DeploymentCluster.await(() -> cluster.engine.abortedRequests().contains("left"));
    }

    @Test
    void should_run_no_more_when_a_request_has_crashed_several_upstreams() {
      // GIVEN
      List<EngineStandin> engines = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        EngineStandin engine = new EngineStandin("c-" + i, "", 0, 0);
        engines.add(engine);
        cluster.store.put("servers", "c-" + i, engine.entry("crash"));
      }
      DeploymentCluster.await(() -> cluster.call("/crash/x", "key").status() == 200);
      // WHEN: the instances receive the request alternately
      String held = "request quarantined";
      for (int i = 0; i < 12; i++) {
        String caller = cluster.instances.get(i % 2).callerAddress();
        cluster.request(caller, "GET", "/crash/poison", "poison-" + i, "key");
        ProcessCluster.pause(CRASH_NOTICE_MS);
      }
      // THEN: two crashes quarantine it; requests already in flight may crash up to four more
      long crashed = engines.stream().filter(e -> e.startedRequests().size() > served(e)).count();
      assertThat(crashed).isBetween(2L, 6L);
      cluster.instances.forEach(i -> assertThat(i.process().output()).contains(held));
      assertThat(cluster.call("/crash/x", "key").status()).isEqualTo(200);
      engines.forEach(EngineStandin::close);
    }

    private long served(EngineStandin engine) {
      return engine.startedRequests().stream().filter(r -> r.startsWith("call-")).count();
    }

    @Test
    void should_refuse_a_key_when_a_later_configuration_has_withdrawn_it() {
      assertThat(cluster.call("/app/x", "other-key").status()).isEqualTo(200);
      ObjectNode next = DeploymentCluster.config(2);
      ((ArrayNode) next.get("tenants")).remove(1);
      cluster.store.put("op", "config", next);
      DeploymentCluster.await(() -> cluster.call("/app/x", "other-key").status() == 401);
      assertThat(cluster.call("/app/x", "key").status()).isEqualTo(200);
    }
  }
}
