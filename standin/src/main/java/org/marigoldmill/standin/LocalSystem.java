package org.marigoldmill.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.marigoldmill.core.rules.RuleChecker;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.schema.settings.PlatformSettings;
import org.marigoldmill.schema.settings.ServeSettings;
import org.marigoldmill.schema.settings.StandinSettings;

/** Runs fake platform servers and upstreams in this process, and creates entry settings. */
public final class LocalSystem implements AutoCloseable {
  private static final String ANY_PORT = "127.0.0.1:0";

  private final Deque<Standin> standins = new ArrayDeque<>();
  private final Map<String, ServeSettings> entries = new TreeMap<>();
  private final Standin log;
  private final Standin instances;
  private final BillingStandin billing;
  private final OrderingStandin ordering;
  private final Standin weights;

  private LocalSystem() {
    this.log = startStandin("log", "log", s -> s);
    this.instances = startStandin("instances", "instances", s -> s);
    this.billing = (BillingStandin) startStandin("billing", "billing", s -> s);
    this.weights = startStandin("weights", "weights", s -> s.setTokenMs(5));
    this.ordering =
        (OrderingStandin)
            startStandin(
                "ordering",
                "ordering",
                s ->
                    s.setInstances(instances.address())
                        .setOrderedKind("plain")
                        .setChecksFencing(true));
  }

  /** Starts the fake platform servers and the fake weight store. */
  public static LocalSystem start() {
    return new LocalSystem();
  }

  /** Starts a fake server with the default settings as changed by {@code customise}. */
  public Standin startStandin(
      String kind, String name, UnaryOperator<StandinSettings.Builder> customise) {
    StandinSettings given =
        customise.apply(StandinSettings.newBuilder().setName(name).setAddress(ANY_PORT)).build();
    StandinSettings settings = (StandinSettings) RuleChecker.withDefaults(given);
    Standin standin = Standins.start(kind, settings, () -> {});
    standins.push(standin);
    return standin;
  }

  /** Starts an upstream, registers it with the instance list, and returns its address. */
  public String startUpstream(String kind, String name, String zone, String pool, long tokenMs) {
    return startStandin(kind, name, s -> withInstanceList(s, zone, pool).setTokenMs(tokenMs))
        .address();
  }

  /** Returns settings with which an upstream registers with the instance list. */
  public StandinSettings.Builder withInstanceList(
      StandinSettings.Builder settings, String zone, String pool) {
    return settings
        .setZone(zone)
        .setPool(pool)
        .setInstances(instances.address())
        .setChecksFencing(true);
  }

  /** Returns settings of a new entry instance on free ports, and registers it. */
  public ServeSettings serveSettings(String name, String zone) {
    ServeSettings given =
        ServeSettings.newBuilder()
            .setInstance(name)
            .setZone(zone)
            .setCallerAddress(freeAddress())
            .setOperatorAddress(freeAddress())
            .setPeerAddress(freeAddress())
            .setPlatform(
                PlatformSettings.newBuilder()
                    .setLog(log.address())
                    .setInstances(instances.address())
                    .setOrdering(ordering.address())
                    .setBilling(billing.address()))
            .build();
    ServeSettings settings = (ServeSettings) RuleChecker.withDefaults(given);
    entries.put(name, settings);
    Standins.register(
        instances.address(),
        PlatformInstance.newBuilder()
            .setName(name)
            .setZone(zone)
            .setAddress(settings.getPeerAddress())
            .build());
    return settings;
  }

  /** Returns the address at which an entry instance serves callers. */
  public String callerAddress(String entry) {
    return entries.get(entry).getCallerAddress();
  }

  /** Returns the address at which an entry instance serves operators. */
  public String operatorAddress(String entry) {
    return entries.get(entry).getOperatorAddress();
  }

  /** Returns the fake of the platform API that starts upstreams on order. */
  public OrderingStandin ordering() {
    return ordering;
  }

  /** Returns the fake of the platform's billing API. */
  public BillingStandin billing() {
    return billing;
  }

  /** Returns the address of the weight store. */
  public String weightStore() {
    return weights.address();
  }

  @Override
  public void close() {
    standins.forEach(Standin::close);
  }

  private static String freeAddress() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
