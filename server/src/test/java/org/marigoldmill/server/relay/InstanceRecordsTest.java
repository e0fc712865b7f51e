package org.marigoldmill.server.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.placement.AllowedZones;
import org.marigoldmill.core.relay.RelayPeers;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.deployment.RegisteredEngine;
import org.marigoldmill.server.lastbuild.LastBuild;
import org.marigoldmill.server.reachability.UpstreamPathMonitor;
import org.marigoldmill.server.relay.RelayProtocol.Carried;
import org.marigoldmill.server.relay.RelayProtocol.Verdict;
import org.marigoldmill.server.store.MemoryStore;

/** How instances of the last landed build and of this one find each other and relay requests. */
class InstanceRecordsTest {
  private static final long UNIX_MS = 1_800_000_000_000L;
  private static final long CONFIG_VERSION = 7;
  private static final int ATTEMPTS = 2;
  private static final String VERDICT = "Marigoldmill-Relay-Verdict";

  private static InstanceDirectory directory(String name, MemoryStore store, RelayPeers peers) {
    DeploymentSettings settings =
        DeploymentSettings.newBuilder()
            .setInstance(name)
            .setZone("zone")
            .setRelayAddress("127.0.0.1:7")
            .build();
    UpstreamPathMonitor path =
        new UpstreamPathMonitor(
            RegisteredEngine.registry(new EngineVersions()), new Random(1), () -> 0);
    return new InstanceDirectory(store, settings, peers, path, () -> UNIX_MS, () -> 0);
  }

  @Nested
  class Directory {
    @Test
    void should_name_the_instances_of_the_last_build() {
      // GIVEN
      MemoryStore written = new MemoryStore();
      for (String name : List.of("stays", "leaves")) {
        directory(name, written, new RelayPeers(name, "zone", new Random(1))).publishDue();
      }
      directory("leaves", written, new RelayPeers("leaves", "zone", new Random(1))).leave();
      RelayPeers peers = new RelayPeers("reader", "zone", new Random(1));
      // WHEN
      MemoryStore ofLastBuild = LastBuild.assertReadAlike("instances.txt", written);
      directory("reader", ofLastBuild, peers).follower().catchUp();
      // THEN
      assertThat(peers.acquire(Set.of(), AllowedZones.ALL, 0))
          .contains(new RelayPeers.Peer("stays", "zone", "127.0.0.1:7", true));
      assertThat(peers.acquire(Set.of("stays"), AllowedZones.ALL, 0)).isEmpty();
    }
  }

  @Nested
  class Headers {
    private final List<String> ours =
        Stream.concat(
                RelayProtocol.requestHeaders(new Carried(CONFIG_VERSION, ATTEMPTS)).stream()
                    .map(h -> h.name() + ": " + h.value()),
                Stream.of(Verdict.values()).map(Headers::verdictLine))
            .toList();
    private final List<String> ofLastBuild = LastBuild.lines("relay.txt", ours);

    private static String verdictLine(Verdict verdict) {
      HttpServerExchange exchange = new HttpServerExchange(null);
      RelayProtocol.markCarried(exchange);
      RelayProtocol.setVerdict(exchange, verdict);
      return VERDICT + ": " + exchange.getResponseHeaders().getFirst(VERDICT);
    }

    @Test
    void should_contain_all_that_the_last_build_reads() {
      assertThat(ours).containsAll(ofLastBuild);
    }

    @Test
    void should_mean_the_same_when_the_last_build_wrote_them() {
      // GIVEN
      HttpServerExchange exchange = new HttpServerExchange(null);
      ofLastBuild.stream()
          .map(l -> l.split(": ", -1))
          .forEach(l -> exchange.getRequestHeaders().put(new HttpString(l[0]), l[1]));
      // WHEN
      RelayProtocol.markCarried(exchange);
      // THEN
      assertThat(RelayProtocol.carried(exchange)).contains(new Carried(CONFIG_VERSION, ATTEMPTS));
      assertThat(
              ofLastBuild.stream()
                  .filter(l -> l.startsWith(VERDICT))
                  .map(l -> new Header(VERDICT, l.substring(VERDICT.length() + 2)))
                  .map(h -> RelayProtocol.verdict(List.of(h))))
          .containsExactly(Verdict.ANSWERED, Verdict.NOT_RUN, Verdict.MAYBE_RUN);
    }
  }
}
