package org.marigoldmill.standin;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.platform.OrderRequest;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.schema.settings.StandinSettings;

/** Starts fake servers by kind, and registers upstreams with the instance list. */
public final class Standins {
  private static final String ANY_PORT = "127.0.0.1:0";
  private static final Map<String, BiFunction<StandinSettings, Runnable, Standin>> KINDS =
      new TreeMap<>(
          Map.of(
              "log", LogStandin::start,
              "instances", InstancesStandin::start,
              "billing", BillingStandin::start,
              "ordering", Standins::startOrdering,
              "engine", (s, crash) -> registered(s, EngineStandin.start(s, crash)),
              "plain", (s, crash) -> registered(s, PlainStandin.start(s, crash)),
              "scoring", (s, crash) -> registered(s, ScoringStandin.start(s, crash)),
              "weights", WeightStoreStandin::start,
              "trainer", (s, crash) -> TrainerStandin.start(s)));

  private Standins() {}

  /** Returns the kinds of fake servers. */
  public static List<String> kinds() {
    return List.copyOf(KINDS.keySet());
  }

  /** Starts a fake server; an injected crash fault runs {@code crash}. */
  public static Standin start(String kind, StandinSettings settings, Runnable crash) {
    return KINDS.get(kind).apply(settings, crash);
  }

  /** Registers an instance with the instance list. */
  public static void register(String instancesAddress, PlatformInstance instance) {
    try (HttpClient client = HttpClient.create("register", 1)) {
      client.exchange(HttpCall.post(instancesAddress, "/register", ProtoJson.bytes(instance)));
    }
  }

  private static Standin startOrdering(StandinSettings settings, Runnable crash) {
    return OrderingStandin.start(
        settings, (order, name) -> startOrdered(settings, order, name), crash);
  }

  /** Starts an ordered upstream, of the kind in the settings; an engine if none is set. */
  private static Standin startOrdered(StandinSettings settings, OrderRequest order, String name) {
    StandinSettings upstream =
        settings.toBuilder()
            .setName(name)
            .setAddress(ANY_PORT)
            .setZone(order.getZone())
            .setPool(order.getPool())
            .setReclaimable(order.getReclaimable())
            .build();
    String kind = settings.getOrderedKind();
    return start(kind.isEmpty() ? "engine" : kind, upstream, () -> {});
  }

  private static Standin registered(StandinSettings settings, Standin standin) {
    if (!settings.getInstances().isEmpty()) {
      register(
          settings.getInstances(),
          PlatformInstance.newBuilder()
              .setName(settings.getName())
              .setZone(settings.getZone())
              .setPool(settings.getPool())
              .setAddress(standin.address())
              .setReclaimable(settings.getReclaimable())
              .build());
    }
    return standin;
  }
}
