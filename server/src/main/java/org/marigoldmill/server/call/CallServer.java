package org.marigoldmill.server.call;

import com.google.common.flogger.FluentLogger;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.marigoldmill.http.Addresses;
import org.marigoldmill.http.RequestGate;
import org.marigoldmill.schema.settings.ServeSettings;
import org.marigoldmill.server.rollout.DrawHandler;
import org.marigoldmill.server.state.SharedState;

/** HTTP server for callers and trainers. */
public final class CallServer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_HEADERS = 100;
  private static final int PARSE_TIMEOUT_MS = 10_000;
  private static final int IO_THREADS = 2;
  private static final long CLOSE_WAIT_MS = 300;

  /** Time that handlers get to end after their connections have been closed. */
  private static final int HANDLER_STOP_MS = 100;

  private final ThreadPoolExecutor workers;
  private final CallDispatcher dispatcher;
  private final CallHandler calls;
  private final RequestGate gate = new RequestGate();
  private final Undertow undertow;

  /**
   * Starts a server that listens on the caller address of the settings.
   *
   * @param knowledgeAgeMs age of the knowledge of key withdrawals, in milliseconds
   */
  public CallServer(
      ServeSettings settings,
      SharedState state,
      CallHandler.Dependencies dependencies,
      DrawHandler draws,
      LongSupplier knowledgeAgeMs) {
    int threads = settings.getWorkerThreads();
    this.workers =
        new ThreadPoolExecutor(
            threads, threads, 1, TimeUnit.MINUTES, new ArrayBlockingQueue<>(threads * 4));
    this.dispatcher =
        new CallDispatcher(state, dependencies.upstreams(), workers, threads, dependencies.clock());
    this.calls =
        new CallHandler(dependencies, dispatcher, pool -> state.config().inFlightPerUpstream(pool));
    EntryHandler entry =
        new EntryHandler(
            state,
            calls,
            draws,
            knowledgeAgeMs,
            dependencies.tracing(),
            dependencies.clock(),
            settings.getBodyTimeoutMs());
    state.onWithdrawal(calls::abortCallsWithKeys);
    var address = Addresses.parse(settings.getCallerAddress());
    this.undertow =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(2)
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, settings.getMaxBodyBytes())
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
            .setServerOption(UndertowOptions.SHUTDOWN_TIMEOUT, HANDLER_STOP_MS)
            .setHandler(gate.guard(entry, entry::refuse))
            .build();
    undertow.start();
  }

  /**
   * Refuses queued calls whose deadline has passed, and starts others if capacity has grown; to be
   * called periodically.
   */
  public void expireAndStartQueued() {
    dispatcher.expireAndStartQueued();
  }

  /** Returns the number of calls and draws whose responses are not complete. */
  public int openRequests() {
    return gate.inside();
  }

  /**
   * Refuses all further calls and draws, and waits for the others.
   *
   * @param timeoutMs longest wait in milliseconds
   * @return whether the responses to all others are complete
   */
  public boolean refuseAndAwaitOpen(long timeoutMs) {
    gate.shut();
    return gate.awaitEmpty(timeoutMs);
  }

  /** Aborts the open calls whose API key has one of these hashes. */
  public void abortCallsWithKeys(Set<String> hashes) {
    calls.abortCallsWithKeys(hashes);
  }

  @Override
  public void close() {
    if (!refuseAndAwaitOpen(CLOSE_WAIT_MS)) {
      logger.atWarning().log("call server closes with open requests open=%d", gate.inside());
    }
    undertow.stop();
    workers.shutdownNow();
  }
}
