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

/** The platform's lagging instance list; instances register, are marked as leaving, and go. */
public final class InstancesStandin implements Standin {
  private record Version(long at, InstanceList list) {}

  private final TreeMap<String, PlatformInstance> instances = new TreeMap<>();
  private final Deque<Version> history = new ArrayDeque<>();
  private final long lagMs;
  private final HttpServer server;

  private InstancesStandin(StandinSettings settings, Runnable crash) {
    this.lagMs = settings.getLagMs();
    Faults faults = new Faults(crash);
    this.server =
        faults
            .install(HttpServer.forAddress(settings.getAddress()))
            .get("/instances", faults.wrap(q -> HttpResponse.json(lagging())))
            .post("/register", this::register)
            .post("/leaving", q -> change(q, InstanceState.LEAVING))
            .post("/remove", this::remove)
            .start();
  }

  /** Starts the stand-in. */
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

  private synchronized HttpResponse register(Request question) {
    PlatformInstance instance =
        ProtoJson.parse(question.body(), PlatformInstance.getDefaultInstance());
    instances.put(instance.getName(), instance);
    return changed();
  }

  private synchronized HttpResponse change(Request question, InstanceState state) {
    instances.computeIfPresent(
        question.query("name").orElse(""), (n, i) -> i.toBuilder().setState(state).build());
    return changed();
  }

  private synchronized HttpResponse remove(Request question) {
    instances.remove(question.query("name").orElse(""));
    return changed();
  }

  private HttpResponse changed() {
    InstanceList list = InstanceList.newBuilder().addAllInstances(instances.values()).build();
    history.addLast(new Version(nowMs(), list));
    return HttpResponse.json(200, "{}");
  }

  private synchronized InstanceList lagging() {
    InstanceList shown = InstanceList.getDefaultInstance();
    for (Version version : history) {
      if (nowMs() - version.at() >= lagMs) {
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
