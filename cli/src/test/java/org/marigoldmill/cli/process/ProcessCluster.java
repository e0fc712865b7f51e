package org.marigoldmill.cli.process;

import com.google.protobuf.Message;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.operator.PublishReply;
import org.marigoldmill.schema.platform.InstanceList;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.schema.standin.Fault;
import org.marigoldmill.schema.standin.RunList;

/** All entry instances, upstreams and platform stand-ins of one test, as separate processes. */
public final class ProcessCluster implements AutoCloseable {
  private static final long AWAIT_TIMEOUT_MS = 40_000;
  private static final long POLL_MS = 50;
  private static final String STANDIN_JAVA_OPTIONS =
      "-Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1";
  private static final String ENTRY_JAVA_OPTIONS =
      "-Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1";

  /** Addresses of one entry instance. */
  public record Entry(String name, String zone, String caller, String operator, String peer) {}

  private final Path directory;
  private final Map<String, SpawnedProcess> processes = new LinkedHashMap<>();
  private final Map<String, String> addresses = new TreeMap<>();
  private final Map<String, Entry> entries = new TreeMap<>();
  private final Map<String, Relay> relays = new TreeMap<>();
  private final HttpClient client = HttpClient.create("cluster", 2);

  public ProcessCluster(String test) {
    this.directory =
        Path.of(System.getProperty("marigoldmill.work"), test.replaceAll("[^A-Za-z0-9]+", "-"));
    try {
      Files.createDirectories(directory);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts the stand-ins of the platform and of the weight store, and waits for the platform. */
  public ProcessCluster startPlatform(String... extraLogSettings) {
    startStandin("log", "log", extraLogSettings);
    startStandin("instances", "instances", "lag_ms = 100");
    startStandin("billing", "billing");
    startStandin("weights", "weights", "token_ms = 5");
    await("instances", () -> answers(standinAddress("instances"), "/instances"));
    startStandin(
        "ordering",
        "ordering",
        "instances = \"" + standinAddress("instances") + "\"",
        "ordered_kind = \"plain\"",
        "checks_fencing = true");
    await("log", () -> answers(standinAddress("log"), "/records?from=1"));
    await("ordering", () -> answers(standinAddress("ordering"), "/orders"));
    await("billing", () -> answers(standinAddress("billing"), "/reports"));
    return this;
  }

  /** Starts a separate instance list for a zone, so that the zone can be partitioned. */
  public ProcessCluster startInstanceList(String zone) {
    startStandin("instances", "instances-" + zone, "lag_ms = 100");
    await(
        "instance list of " + zone,
        () -> answers(standinAddress("instances-" + zone), "/instances"));
    return this;
  }

  /**
   * Copies the common instance list into the list of a zone.
   *
   * <p>In the list of the zone, the addresses of other zones' entry instances are replaced by those
   * of relays; in the common list, the addresses of the zone's own entry instances are. The relays
   * thus carry the traffic between the zone and the others in both directions.
   */
  public void fillInstanceList(String zone) {
    List<PlatformInstance> all =
        read("instances", "/instances", InstanceList.getDefaultInstance()).getInstancesList();
    for (PlatformInstance instance : all) {
      boolean linked = instance.getPool().isEmpty() && !instance.getZone().equals(zone);
      registerIn("instances-" + zone, linked ? throughRelay(instance) : instance);
      if (instance.getPool().isEmpty() && instance.getZone().equals(zone)) {
        registerIn("instances", throughRelay(instance));
      }
    }
  }

  /** Closes the relays between the zones. */
  public void cutZoneLinks() {
    relaysWithPrefix("link/").forEach(Relay::cut);
  }

  /** Opens the relays between the zones again. */
  public void healZoneLinks() {
    relaysWithPrefix("link/").forEach(Relay::heal);
  }

  /** Starts an upstream stand-in, which registers in the instance list. */
  public ProcessCluster startUpstream(
      String kind, String name, String zone, String pool, String... extra) {
    List<String> lines = new ArrayList<>(List.of(extra));
    lines.add("zone = \"" + zone + "\"");
    lines.add("pool = \"" + pool + "\"");
    lines.add("instances = \"" + standinAddress("instances") + "\"");
    startStandin(kind, name, lines.toArray(String[]::new));
    return this;
  }

  /** Starts a stand-in, on the port of an earlier one of that name or else on a free port. */
  public SpawnedProcess startStandin(String kind, String name, String... extra) {
    String address = addresses.computeIfAbsent(name, n -> FreePorts.address());
    List<String> lines = new ArrayList<>(List.of(extra));
    lines.add("name = \"" + name + "\"");
    lines.add("address = \"" + address + "\"");
    Path file = writeSettings(name, lines);
    return spawn(name, STANDIN_JAVA_OPTIONS, "standin", kind, "--settings", file.toString());
  }

  /** Starts an entry instance and registers it in the instance list. */
  public ProcessCluster entry(String name, String zone, String... extra) {
    Entry entry =
        new Entry(name, zone, FreePorts.address(), FreePorts.address(), FreePorts.address());
    entries.put(name, entry);
    List<String> lines = new ArrayList<>(List.of(extra));
    lines.add("instance = \"" + name + "\"");
    lines.add("zone = \"" + zone + "\"");
    lines.add("caller_address = \"" + entry.caller() + "\"");
    lines.add("operator_address = \"" + entry.operator() + "\"");
    lines.add("peer_address = \"" + entry.peer() + "\"");
    lines.add("lease_ttl_ms = 1500");
    lines.add("lease_guard_ms = 200");
    lines.add("send_limit_ms = 400");
    lines.add("failure_timeout_ms = 1500");
    lines.add("drain_notice_ms = 300");
    lines.add("[platform]");
    for (String part : List.of("log", "instances", "ordering", "billing")) {
      String own = addresses.containsKey(part + "-" + zone) ? part + "-" + zone : part;
      lines.add(part + " = \"" + platformRelay(zone, own).address() + "\"");
    }
    Path file = writeSettings(name, lines);
    spawn(name, ENTRY_JAVA_OPTIONS, "serve", "--settings", file.toString());
    register(
        PlatformInstance.newBuilder().setName(name).setZone(zone).setAddress(entry.peer()).build());
    return this;
  }

  /** Returns the relay from a zone to a stand-in of the platform. */
  public Relay platformRelay(String zone, String part) {
    return relays.computeIfAbsent(zone + "/" + part, k -> new Relay(standinAddress(part)));
  }

  /** Closes the relays from a zone to the platform. */
  public void cutPlatform(String zone) {
    relays.forEach(
        (name, relay) -> {
          if (name.startsWith(zone + "/")) {
            relay.cut();
          }
        });
  }

  /** Opens the relays from a zone to the platform again. */
  public void healPlatform(String zone) {
    relays.forEach(
        (name, relay) -> {
          if (name.startsWith(zone + "/")) {
            relay.heal();
          }
        });
  }

  /** Registers the address of a new relay in place of that of a listed upstream. */
  public void relayToUpstream(String name) {
    InstanceList list = read("instances", "/instances", InstanceList.getDefaultInstance());
    PlatformInstance listed =
        list.getInstancesList().stream()
            .filter(i -> i.getName().equals(name))
            .findFirst()
            .orElseThrow();
    Relay relay = new Relay(listed.getAddress());
    relays.put("upstream/" + name, relay);
    register(listed.toBuilder().setAddress(relay.address()).build());
  }

  /** Returns the relay in front of an upstream. */
  public Relay upstreamRelay(String name) {
    return relays.get("upstream/" + name);
  }

  /** Publishes a declaration through the first entry instance, once all answer. */
  public PublishReply publish(Declaration declaration) {
    entries.values().forEach(e -> await(e.name(), () -> answers(e.operator(), "/health")));
    return publishAt(entries.keySet().iterator().next(), declaration);
  }

  /** Publishes a declaration through one entry instance. */
  public PublishReply publishAt(String entry, Declaration declaration) {
    return client
        .exchange(
            HttpCall.post(operatorAddress(entry), "/declaration", ProtoJson.bytes(declaration))
                .timeouts(2_000, 30_000, 30_000))
        .message(PublishReply.getDefaultInstance());
  }

  /** Waits until every entry instance is ready and shows at least this many upstreams. */
  public void awaitReady(int upstreams) {
    for (Entry entry : entries.values()) {
      await(entry.name() + " ready", () -> answers(entry.operator(), "/ready"));
      await(
          entry.name() + " upstreams",
          () -> countOccurrences(show(entry.name(), "upstreams"), "\"name\"") >= upstreams);
    }
  }

  /** Calls a path of an entry instance with a bearer key, or without one if it is empty. */
  public HttpResponse call(String entry, String path, String key, String body, Header... extra) {
    List<Header> headers = new ArrayList<>(List.of(extra));
    if (!key.isEmpty()) {
      headers.add(new Header("Authorization", "Bearer " + key));
    }
    return client.exchange(
        HttpCall.post(entries.get(entry).caller(), path, body.getBytes(StandardCharsets.UTF_8))
            .headers(headers)
            .timeouts(1_000, 20_000, 30_000));
  }

  /** Makes a stand-in show a fault. */
  public void injectFault(String standin, Fault.Builder fault) {
    client.exchange(HttpCall.post(standinAddress(standin), "/fault", ProtoJson.bytes(fault)));
  }

  /** Returns a stand-in's answer to a GET request, parsed as the type of the prototype. */
  public <M extends Message> M read(String standin, String path, M prototype) {
    return client.exchange(HttpCall.get(standinAddress(standin), path)).message(prototype);
  }

  /** Returns the requests that an upstream stand-in has run. */
  public RunList runs(String upstream) {
    return read(upstream, "/runs", RunList.getDefaultInstance());
  }

  /** Sends an empty POST to a stand-in. */
  public void postEmpty(String standin, String path) {
    client.exchange(HttpCall.post(standinAddress(standin), path, new byte[0]));
  }

  /** Registers an instance in the common instance list. */
  public void register(PlatformInstance instance) {
    registerIn("instances", instance);
  }

  public String show(String entry, String what) {
    return client.exchange(HttpCall.get(operatorAddress(entry), "/show/" + what)).text();
  }

  public <M extends Message> M shown(String entry, String what, M prototype) {
    return ProtoJson.parse(show(entry, what), prototype);
  }

  public HttpClient client() {
    return client;
  }

  public SpawnedProcess process(String name) {
    return processes.get(name);
  }

  public String standinAddress(String standin) {
    return addresses.get(standin);
  }

  public String operatorAddress(String entry) {
    return entries.get(entry).operator();
  }

  public Entry entry(String name) {
    return entries.get(name);
  }

  public List<String> callerAddresses() {
    return entries.values().stream().map(Entry::caller).toList();
  }

  public boolean answers(String address, String path) {
    try {
      return client.exchange(HttpCall.get(address, path).timeouts(500, 1_000, 2_000)).successful();
    } catch (HttpCallException e) {
      return false;
    }
  }

  /** Waits up to 40 s for a condition; a failed call counts as not fulfilled. */
  public static void await(String what, BooleanSupplier condition) {
    await(what, AWAIT_TIMEOUT_MS, condition);
  }

  /** Waits for a condition up to a limit in milliseconds and fails when it is exceeded. */
  public static void await(String what, long limitMs, BooleanSupplier condition) {
    long until = System.nanoTime() / 1_000_000 + limitMs;
    while (!holds(condition)) {
      if (System.nanoTime() / 1_000_000 > until) {
        throw new AssertionError("condition not met within " + limitMs + " ms: " + what);
      }
      pause(POLL_MS);
    }
  }

  public static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    processes.values().forEach(SpawnedProcess::resume);
    processes.values().forEach(SpawnedProcess::kill);
    relays.values().forEach(Relay::close);
    client.close();
  }

  private void registerIn(String list, PlatformInstance instance) {
    client.exchange(HttpCall.post(standinAddress(list), "/register", ProtoJson.bytes(instance)));
  }

  private PlatformInstance throughRelay(PlatformInstance instance) {
    Relay link =
        relays.computeIfAbsent("link/" + instance.getName(), k -> new Relay(instance.getAddress()));
    return instance.toBuilder().setAddress(link.address()).build();
  }

  private List<Relay> relaysWithPrefix(String prefix) {
    return relays.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .map(Map.Entry::getValue)
        .toList();
  }

  private static boolean holds(BooleanSupplier condition) {
    try {
      return condition.getAsBoolean();
    } catch (HttpCallException e) {
      return false;
    }
  }

  private SpawnedProcess spawn(String name, String javaOptions, String... arguments) {
    List<String> command = new ArrayList<>(List.of(System.getProperty("marigoldmill.binary")));
    command.addAll(List.of(arguments));
    SpawnedProcess spawned = new SpawnedProcess(name, directory, javaOptions, command);
    processes.put(name, spawned);
    return spawned;
  }

  private Path writeSettings(String name, List<String> lines) {
    try {
      return Files.write(directory.resolve(name + ".toml"), lines);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static int countOccurrences(String text, String part) {
    return (text.length() - text.replace(part, "").length()) / part.length();
  }
}
