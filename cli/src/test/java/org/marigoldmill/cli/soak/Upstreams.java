package org.marigoldmill.cli.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.marigoldmill.cli.deployment.DeploymentCluster;
import org.marigoldmill.cli.deployment.EngineStandin;
import org.marigoldmill.cli.deployment.StoreStandin;
import org.marigoldmill.cli.process.Relay;

/** The engines of a run, each behind a relay; engines leave as planned and others come. */
final class Upstreams implements AutoCloseable {
  /** Events of each stream. */
  static final int EVENTS = 6;

  private static final long EVENT_INTERVAL_MS = 60;
  private static final int SLOTS = 16;

  /** Time from the ack of {@code draining} until no more requests come ({@code drain_ms}). */
  private static final long DRAIN_MS = 2_000;

  /** Longer than any run, so that an engine has answered what it has when it exits. */
  private static final long EXIT_AFTER_DRAIN_MS = 2_000;

  /** An engine as registered in the store. */
  private record Engine(String id, String service, EngineStandin server, Relay relay) {
    ObjectNode entry(String state) {
      return server
          .entry(service)
          .put("address", relay.address())
          .put("slots", SLOTS)
          .put("state", state);
    }

    /** Closes the relay first, because the server waits for requests that are not complete. */
    void close() {
      relay.close();
      server.close();
    }
  }

  private final StoreStandin store;
  private final SoakLog log;
  private final List<Engine> all = new CopyOnWriteArrayList<>();
  private final List<Engine> present = new CopyOnWriteArrayList<>();
  private final AtomicInteger nextId = new AtomicInteger();
  private final AtomicLong namedVersion = new AtomicLong(1);

  Upstreams(StoreStandin store, SoakLog log, int perService) {
    this.store = store;
    this.log = log;
    for (int i = 0; i < perService; i++) {
      start("app");
      start("llm");
    }
  }

  /** Names the next version of the weights. */
  void nameWeights() {
    long version = namedVersion.incrementAndGet();
    store.put(
        "op",
        "version/m",
        DeploymentCluster.MAPPER.createObjectNode().put("model", "m").put("version", version));
    log.event("weights version=%d", version);
  }

  /** Lets an engine drain and exit, after another one of its service has come. */
  void replace(int target) {
    Engine leaving;
    synchronized (this) {
      leaving = present.get(target % present.size());
      start(leaving.service());
      present.remove(leaving);
    }
    store.put("servers", leaving.id(), leaving.entry("draining"));
    log.event("engine draining %s", leaving.id());
    SoakRun.sleep(DRAIN_MS + EXIT_AFTER_DRAIN_MS);
    store.put("servers", leaving.id(), null);
    leaving.close();
    log.event("engine gone %s", leaving.id());
  }

  /** Returns the relay of an engine. */
  Relay relay(int target) {
    return present.get(target % present.size()).relay();
  }

  /** Returns whether an engine has begun to run a request. */
  boolean hasRun(String request) {
    return all.stream().anyMatch(e -> e.server().startedRequests().contains(request));
  }

  /** Returns how often each request has begun to run. */
  Map<String, Long> runs() {
    return all.stream()
        .flatMap(e -> e.server().startedRequests().stream())
        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
  }

  @Override
  public void close() {
    all.forEach(Engine::close);
  }

  private synchronized void start(String service) {
    String id = service + "-" + nextId.incrementAndGet();
    String model = service.equals("llm") ? "m" : "";
    EngineStandin server = new EngineStandin(id, model, EVENTS, EVENT_INTERVAL_MS);
    Engine engine = new Engine(id, service, server, new Relay(server.address()));
    all.add(engine);
    present.add(engine);
    store.put("servers", id, engine.entry("ready"));
  }
}
