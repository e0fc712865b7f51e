package org.marigoldmill.server.state;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.schema.upstream.EngineStatus;
import org.marigoldmill.schema.upstream.ModelVersion;
import org.marigoldmill.server.Clock;

/** Reads the status of the upstreams of this zone: load and weight versions. */
public final class EngineWatch {
  private static final long STATUS_TIMEOUT_MS = 500;

  private final HttpClient client;
  private final UpstreamTable upstreams;
  private final Clock clock;
  private final Map<String, EngineStatus> statuses = new ConcurrentHashMap<>();

  /** Creates a watch that feeds a table of upstreams. */
  public EngineWatch(HttpClient client, UpstreamTable upstreams, Clock clock) {
    this.client = client;
    this.upstreams = upstreams;
    this.clock = clock;
  }

  /** Reads the status of some upstreams at the same time. */
  public void readOnce(List<PlatformInstance> watched) {
    watched.parallelStream().forEach(this::read);
    List<String> names = watched.stream().map(PlatformInstance::getName).toList();
    statuses.keySet().retainAll(names);
  }

  /** Returns the version of a model that an engine last reported, or 0. */
  public long version(String engine, String model) {
    EngineStatus status = statuses.get(engine);
    return status == null
        ? 0
        : status.getVersionsList().stream()
            .filter(v -> v.getModel().equals(model))
            .mapToLong(ModelVersion::getVersion)
            .findFirst()
            .orElse(0);
  }

  /** Notes a version ahead of the next report. */
  public void loaded(String engine, String model, long version) {
    statuses.compute(
        engine,
        (name, status) -> {
          EngineStatus before = status == null ? EngineStatus.getDefaultInstance() : status;
          List<ModelVersion> others =
              before.getVersionsList().stream().filter(v -> !v.getModel().equals(model)).toList();
          return before.toBuilder()
              .clearVersions()
              .addAllVersions(others)
              .addVersions(ModelVersion.newBuilder().setModel(model).setVersion(version))
              .build();
        });
  }

  private void read(PlatformInstance upstream) {
    HttpCall call =
        HttpCall.get(upstream.getAddress(), "/status")
            .timeouts(STATUS_TIMEOUT_MS, STATUS_TIMEOUT_MS, STATUS_TIMEOUT_MS);
    try {
      HttpResponse answer = client.exchange(call);
      if (answer.successful()) {
        EngineStatus status = answer.message(EngineStatus.getDefaultInstance());
        statuses.put(upstream.getName(), status);
        upstreams.recordReportedLoad(
            upstream.getName(), status.getRunning() + status.getWaiting(), clock.now());
      }
    } catch (HttpCallException e) {
      statuses.remove(upstream.getName());
    }
  }
}
