package org.marigoldmill.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.platform.InstanceList;
import org.marigoldmill.schema.platform.InstanceState;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.schema.settings.StandinSettings;

/**
 * Fake instance list of the platform, which shows each change with a configurable delay. Instances
 * can be registered, marked as leaving, and removed.
 */
public final class InstancesStandin implements Standin {
  private record HistoryEntry(long atMs, InstanceList list) {}

  private final TreeMap<String, PlatformInstance> instances = new TreeMap<>();
  private final Deque<HistoryEntry> history = new ArrayDeque<>();
  private final long lagMs;
  private final HttpServer server;

  private InstancesStandin(StandinSettings settings, Runnable crash) {
    this.lagMs = settings.getLagMs();
    Faults faults = new Faults(crash);
    this.server =
        faults
            .installRoute(HttpServer.forAddress(settings.getAddress()))
            .get("/instances", faults.wrap(q -> HttpResponse.json(delayedList())))
            .post("/register", this::register)
            .post("/leaving", q -> setState(q, InstanceState.LEAVING))
            .post("/remove", this::remove)
            .start();
  }

  /** Starts the server; an injected crash fault runs {@code crash}. */
  public static InstancesStandin start(StandinSettings settings, Runnable crash) {
    return new InstancesStandin(settings, crash);
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private synchronized HttpResponse register(Request request) {
    PlatformInstance instance =
        ProtoJson.parse(request.body(), PlatformInstance.getDefaultInstance());
    instances.put(instance.getName(), instance);
    return recordChange();
  }

  private synchronized HttpResponse setState(Request request, InstanceState state) {
    instances.computeIfPresent(
        request.query("name").orElse(""), (n, i) -> i.toBuilder().setState(state).build());
    return recordChange();
  }

  private synchronized HttpResponse remove(Request request) {
    instances.remove(request.query("name").orElse(""));
    return recordChange();
  }

  private HttpResponse recordChange() {
    InstanceList list = InstanceList.newBuilder().addAllInstances(instances.values()).build();
    history.addLast(new HistoryEntry(nowMs(), list));
    return HttpResponse.json(200, "{}");
  }

  private synchronized InstanceList delayedList() {
    InstanceList shown = InstanceList.getDefaultInstance();
    for (HistoryEntry version : history) {
      if (nowMs() - version.atMs() >= lagMs) {
        shown = version.list();
      }
    }
    InstanceList last = shown;
    while (history.size() > 1 && !history.peekFirst().list().equals(last)) {
      history.removeFirst();
    }
    return shown;
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
