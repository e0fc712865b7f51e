package org.marigoldmill.server;

import com.google.common.flogger.FluentLogger;
import java.net.BindException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.schema.settings.DeploymentSettings;
import org.marigoldmill.server.gateway.Gateway;

/**
 * HTTP servers of one instance for readiness, metrics and callers.
 *
 * <p>The server for callers starts once the configuration with its limits is known.
 */
final class DeploymentServers implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Readiness and metrics are each requested by one client at a time. */
  private static final int CONTROL_WORKERS = 2;

  /** Callers reuse connections up to the configured idle limit, so the server closes them later. */
  private static final int IDLE_TIMEOUT_FACTOR = 2;

  private static final int LOG_INTERVAL_SECONDS = 5;

  /** Requests of other instances that are handled at the same time. */
  private static final int RELAY_WORKERS = 32;

  /** Headers that another instance adds to those of its caller, in bytes. */
  private static final int RELAY_HEADER_BYTES = 1_024;

  /** Longer than an instance reuses an idle connection. */
  private static final int RELAY_IDLE_TIMEOUT_MS = 10_000;

  private final DeploymentSettings settings;
  private final Gateway gateway;
  private final Metrics metrics;
  private Optional<HttpServer> readyServer = Optional.empty();
  private Optional<HttpServer> metricsServer = Optional.empty();
  private volatile Optional<HttpServer> callerServer = Optional.empty();
  private volatile Optional<HttpServer> relayServer = Optional.empty();
  private boolean closed;

  /** Creates the servers without starting any. */
  DeploymentServers(DeploymentSettings settings, Gateway gateway, Metrics metrics) {
    this.settings = settings;
    this.gateway = gateway;
    this.metrics = metrics;
  }

  /**
   * Starts the servers for readiness and metrics.
   *
   * @param readyPath path of the load balancer's readiness check
   * @param ready whether the instance can take requests
   */
  synchronized void startControlServers(String readyPath, BooleanSupplier ready) {
    readyServer =
        Optional.of(
            HttpServer.forAddress(settings.getReadyAddress())
                .workerThreads(CONTROL_WORKERS)
                .get(readyPath, q -> readiness(ready.getAsBoolean()))
                .start());
    metricsServer =
        startIfAddressFree(
            "metrics",
            settings.getMetricsAddress(),
            HttpServer.forAddress(settings.getMetricsAddress())
                .workerThreads(CONTROL_WORKERS)
                .get(
                    "/metrics", q -> new HttpResponse(200, List.of(), metrics.toPrometheusText())));
  }

  /**
   * Starts the server for callers if it is neither running nor closed; its limits hold until a
   * restart.
   */
  synchronized void serveCallers(DeploymentConfig config) {
    if (closed || callerServer.isPresent()) {
      return;
    }
    DeploymentConfig.Limits limits = config.limits();
    callerServer =
        startIfAddressFree(
            "callers",
            settings.getCallerAddress(),
            HttpServer.forAddress(settings.getCallerAddress())
                .workerThreads(settings.getWorkerThreads())
                .rootHandler(gateway)
                .refusalHandler(gateway::refuse)
                .limits(
                    limits.maxHeaderBytes(),
                    limits.headerTimeoutMs(),
                    IDLE_TIMEOUT_FACTOR * limits.idleTimeoutMs()));
    if (relayServer.isEmpty() && !settings.getRelayAddress().isEmpty()) {
      relayServer = startRelayServer(limits);
    }
  }

  private Optional<HttpServer> startRelayServer(DeploymentConfig.Limits limits) {
    return startIfAddressFree(
        "relay",
        settings.getRelayAddress(),
        HttpServer.forAddress(settings.getRelayAddress())
            .workerThreads(RELAY_WORKERS)
            .rootHandler(gateway::handleCarried)
            .refusalHandler(gateway::refuseCarried)
            .limits(
                limits.maxHeaderBytes() + RELAY_HEADER_BYTES,
                limits.headerTimeoutMs(),
                RELAY_IDLE_TIMEOUT_MS));
  }

  /** Returns whether the server for callers is running. */
  boolean servesCallers() {
    return callerServer.isPresent();
  }

  /** Returns the number of callers' requests whose responses are not complete. */
  int openRequests() {
    return Stream.of(callerServer, relayServer)
        .flatMap(Optional::stream)
        .mapToInt(HttpServer::openRequests)
        .sum();
  }

  /** Refuses callers from now on if no request is open; returns whether they are refused. */
  synchronized boolean refuseCallersIfIdle() {
    closed =
        relayServer.map(HttpServer::refuseIfIdle).orElse(true)
            && callerServer.map(HttpServer::refuseIfIdle).orElse(true);
    return closed;
  }

  /**
   * Closes the server for callers.
   *
   * @param waitMs longest wait for the responses to open requests, in milliseconds
   */
  synchronized void closeCallers(long waitMs) {
    closed = true;
    long startNanos = System.nanoTime();
    callerServer.ifPresent(s -> s.close(waitMs, gateway::logCutRequests));
    long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
    relayServer.ifPresent(s -> s.close(Math.max(0, waitMs - elapsedMs), gateway::logCutRequests));
  }

  @Override
  public synchronized void close() {
    closeCallers(0);
    metricsServer.ifPresent(HttpServer::abort);
    readyServer.ifPresent(HttpServer::abort);
  }

  /** Returns the started server, or empty if its address is in use, which is not fatal. */
  private static Optional<HttpServer> startIfAddressFree(
      String name, String address, HttpServer server) {
    try {
      return Optional.of(server.start());
    } catch (RuntimeException e) {
      if (!(e.getCause() instanceof BindException)) {
        throw e;
      }
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "%s server not started address=%s cause=%s", name, address, e.getMessage());
      return Optional.empty();
    }
  }

  private static HttpResponse readiness(boolean ready) {
    return HttpResponse.text(ready ? 200 : 503, ready ? "ready" : "no");
  }
}
