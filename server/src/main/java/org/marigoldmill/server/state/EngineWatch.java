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

/** Polls upstreams for their load and weight versions. */
public final class EngineWatch {
  private static final long STATUS_TIMEOUT_MS = 500;

  private final HttpClient client;
  private final UpstreamTable upstreams;
  private final Clock clock;
  private final Map<String, EngineStatus> statuses = new ConcurrentHashMap<>();

  /** Creates a watch that reports loads to a table of upstreams. */
  public EngineWatch(HttpClient client, UpstreamTable upstreams, Clock clock) {
    this.client = client;
    this.upstreams = upstreams;
    this.clock = clock;
  }

  /** Polls the upstreams in parallel and discards the status of all others. */
  public void readOnce(List<PlatformInstance> watched) {
    watched.parallelStream().forEach(this::readStatus);
    List<String> names = watched.stream().map(PlatformInstance::getName).toList();
    statuses.keySet().retainAll(names);
  }

  /** Returns the last known version of a model at an engine, or 0 if unknown. */
  public long loadedVersion(String engine, String model) {
    EngineStatus status = statuses.get(engine);
    return status == null
        ? 0
        : status.getVersionsList().stream()
            .filter(v -> v.getModel().equals(model))
            .mapToLong(ModelVersion::getVersion)
            .findFirst()
            .orElse(0);
  }

  /** Records a loaded version before the next poll reports it. */
  public void recordLoadedVersion(String engine, String model, long version) {
    statuses.compute(
        engine,
        (name, status) -> {
          EngineStatus previous = status == null ? EngineStatus.getDefaultInstance() : status;
          List<ModelVersion> others =
              previous.getVersionsList().stream().filter(v -> !v.getModel().equals(model)).toList();
          return previous.toBuilder()
              .clearVersions()
              .addAllVersions(others)
              .addVersions(ModelVersion.newBuilder().setModel(model).setVersion(version))
              .build();
        });
  }

  private void readStatus(PlatformInstance upstream) {
    HttpCall call =
        HttpCall.get(upstream.getAddress(), "/status")
            .timeouts(STATUS_TIMEOUT_MS, STATUS_TIMEOUT_MS, STATUS_TIMEOUT_MS);
    try {
      HttpResponse response = client.exchange(call);
      if (response.successful()) {
        EngineStatus status = response.message(EngineStatus.getDefaultInstance());
        statuses.put(upstream.getName(), status);
        upstreams.recordReportedLoad(
            upstream.getName(), status.getRunning() + status.getWaiting(), clock.now());
      }
    } catch (HttpCallException e) {
      statuses.remove(upstream.getName());
    }
  }
}
