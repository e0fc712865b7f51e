package org.marigoldmill.cli.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.EVENTS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.ITEMS;
import static org.marigoldmill.cli.deployment.DeploymentCluster.route;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marigoldmill.cli.process.UpstreamPaths;
import org.marigoldmill.cli.process.UpstreamPaths.Cut;
import org.marigoldmill.http.HttpResponse;

/** Instances in zone a of region near; engines there and in zone b of region far. */
class AllowedRegionsIT {
  private static final int CALLS = 20;

  /** Third instance of the cluster; its paths to upstreams can be cut. */
  private static final int CUT_OFF = 2;

  private DeploymentCluster cluster;
  private UpstreamPaths paths;
  private EngineStandin plainInB;
  private EngineStandin engineInB;

  @BeforeEach
  void start() {
    cluster = new DeploymentCluster("region_by_zone = { a = \"near\", b = \"far\" }");
    plainInB = new EngineStandin("p-2", "", 0, 0);
    engineInB = new EngineStandin("e-2", "m", EVENTS, 20);
    cluster.store.put("servers", "p-2", plainInB.entry("app").put("zone", "b"));
    cluster.store.put("servers", "e-2", engineInB.entry("llm").put("zone", "b"));
    paths = new UpstreamPaths();
    cluster.startInstancesAt(cluster.store.addressWithUpstreamsAt(paths::through), "one-cut-off");
    DeploymentCluster.await(() -> logged("engine listed id=e-2"));
  }

  @AfterEach
  void stop() {
    plainInB.close();
    engineInB.close();
    cluster.close();
    paths.close();
  }

  private boolean logged(String line) {
    return cluster.instances.stream().allMatch(i -> i.process().output().contains(line));
  }

  private void restrictOrganisation(ObjectNode config, String region) {
    ((ObjectNode) config.withArray("tenants").get(0)).putArray("allowed_regions").add(region);
    activate(config);
  }

  private void activate(ObjectNode config) {
    cluster.store.put("op", "config", config);
    DeploymentCluster.await(
        () -> logged("config in force version=" + config.get("version").asInt()));
  }

  private static ObjectNode configWithFarRoutes() {
    ObjectNode config = DeploymentCluster.config(2);
    route(config.withArray("routes"), "/far/", "idempotent", "app")
        .put("max_attempts", 2)
        .putArray("allowed_regions")
        .add("far");
    return config;
  }

  private List<Integer> statuses(int instance, String prefix) {
    return IntStream.range(0, CALLS)
        .mapToObj(i -> cluster.requestWithKey(instance, prefix + i, "key").status())
        .distinct()
        .toList();
  }

  @Test
  void should_run_calls_items_and_reward_calls_only_where_the_organisation_is_allowed() {
    // GIVEN
    restrictOrganisation(configWithFarRoutes(), "far");
    // WHEN
    List<Integer> calls = statuses(0, "/app/x");
    HttpResponse stream = cluster.sendWith(1, "/gen/x", "stream");
    ObjectNode submission = DeploymentCluster.submission();
    assertThat(cluster.post(0, "/batch/s", "s", submission).status()).isEqualTo(202);
    DeploymentCluster.await(() -> cluster.results(0, "s", 0).get("next").asInt() == ITEMS);
    // THEN
    assertThat(calls).containsExactly(200);
    assertThat(stream.text()).contains("piece " + EVENTS);
    assertThat(cluster.plain.startedRequests()).isEmpty();
    assertThat(cluster.engine.startedRequests()).isEmpty();
    assertThat(statuses(0, "/far/x")).containsExactly(200);
  }

  @Test
  void should_be_refused_at_once_when_route_and_organisation_allow_no_common_region() {
    // GIVEN
    restrictOrganisation(configWithFarRoutes(), "near");
    // WHEN
    HttpResponse refused = cluster.requestWithKey(0, "/far/x", "key");
    // THEN
    assertThat(refused.status()).isEqualTo(503);
    assertThat(new String(refused.body(), UTF_8)).contains("\"region-unavailable\"");
    assertThat(refused.header("Retry-After")).isPresent();
    assertThat(statuses(0, "/app/x")).containsExactly(200);
    assertThat(plainInB.startedRequests()).isEmpty();
  }

  @Test
  void should_not_be_relayed_to_an_instance_outside_the_allowed_regions() {
    // GIVEN
    activate(configWithFarRoutes());
    DeploymentCluster.await(() -> statuses(CUT_OFF, "/far/x").equals(List.of(200)));
    // WHEN
    paths.cut(Cut.REFUSE);
    DeploymentCluster.await(
        () ->
            !statuses(CUT_OFF, "/far/x").contains(200)
                && cluster.instances.get(CUT_OFF).process().output().contains("now=LOST"));
    int before = plainInB.startedRequests().size();
    // THEN
    assertThat(statuses(CUT_OFF, "/far/y")).containsExactly(503);
    assertThat(statuses(CUT_OFF, "/app/y")).containsExactly(200);
    assertThat(plainInB.startedRequests()).hasSize(before);
  }
}
