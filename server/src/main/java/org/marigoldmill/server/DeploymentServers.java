package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import java.net.BindException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.gateway.Gateway;

/** The addresses that one instance serves: readiness, metrics, and callers once it knows limits. */
final class DeploymentServers implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Readiness and metrics are each asked for by one client at a time. */
  private static final int CONTROL_WORKERS = 2;

  /** Callers reuse connections that have been idle for most of the limit, so it is kept amply. */
  private static final int IDLE_MARGIN = 2;

  private static final int LOG_EVERY_SECONDS = 5;

  private final DeploymentSettings settings;
  private final Gateway gateway;
  private final Metrics metrics;
  private Optional<HttpServer> readyServer = Optional.empty();
  private Optional<HttpServer> metricsServer = Optional.empty();
  private volatile Optional<HttpServer> callerServer = Optional.empty();

  /** Creates the addresses of an instance, none of which is open yet. */
  DeploymentServers(DeploymentSettings settings, Gateway gateway, Metrics metrics) {
    this.settings = settings;
    this.gateway = gateway;
    this.metrics = metrics;
  }

  /**
   * Opens the addresses for readiness and metrics.
   *
   * @param readyPath path at which the balancer asks for readiness
   * @param ready whether callers may be sent here
   */
  synchronized void open(String readyPath, BooleanSupplier ready) {
    readyServer =
        Optional.of(
            HttpServer.forAddress(settings.getReadyAddress())
                .workerThreads(CONTROL_WORKERS)
                .get(readyPath, q -> readiness(ready.getAsBoolean()))
                .start());
    metricsServer =
        bound(
            "metrics",
            settings.getMetricsAddress(),
            HttpServer.forAddress(settings.getMetricsAddress())
                .workerThreads(CONTROL_WORKERS)
                .get("/metrics", q -> new HttpResponse(200, List.of(), metrics.text())));
  }

  /** Serves callers, unless that is done already; the limits hold until the next start. */
  synchronized void serveCallers(DeploymentConfig config) {
    if (callerServer.isPresent()) {
      return;
    }
    DeploymentConfig.Limits limits = config.limits();
    callerServer =
        bound(
            "callers",
            settings.getCallerAddress(),
            HttpServer.forAddress(settings.getCallerAddress())
                .workerThreads(settings.getWorkerThreads())
                .rootHandler(gateway)
                .limits(limits.headerBytes(), limits.headerMs(), IDLE_MARGIN * limits.idleMs()));
  }

  /** Returns whether callers are served. */
  boolean servesCallers() {
    return callerServer.isPresent();
  }

  @Override
  public synchronized void close() {
    callerServer.ifPresent(HttpServer::close);
    metricsServer.ifPresent(HttpServer::close);
    readyServer.ifPresent(HttpServer::close);
  }

  /** An address that is taken costs this instance what it serves there, not its life. */
  private static Optional<HttpServer> bound(String what, String address, HttpServer server) {
    try {
      return Optional.of(server.start());
    } catch (RuntimeException e) {
      if (!(e.getCause() instanceof BindException)) {
        throw e;
      }
      logger.atWarning().atMostEvery(LOG_EVERY_SECONDS, TimeUnit.SECONDS).log(
          "%s not served address=%s cause=%s", what, address, e.getMessage());
      return Optional.empty();
    }
  }

  private static HttpResponse readiness(boolean ready) {
    return HttpResponse.text(ready ? 200 : 503, ready ? "ready" : "no");
  }
}
