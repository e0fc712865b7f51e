package org.marigoldmill.server.call;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.marigoldmill.http.Addresses;
import org.marigoldmill.schema.settings.ServeSettings;
import org.marigoldmill.server.rollout.DrawHandler;
import org.marigoldmill.server.state.SharedState;

/** Listens for callers and trainers. */
public final class CallServer implements AutoCloseable {
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_HEADERS = 100;
  private static final int PARSE_TIMEOUT_MS = 10_000;
  private static final int IO_THREADS = 2;

  private final ThreadPoolExecutor workers;
  private final Gatekeeper gatekeeper;
  private final CallHandler calls;
  private final DrawHandler draws;
  private final Undertow undertow;

  /** Starts listening. */
  public CallServer(
      ServeSettings settings,
      SharedState state,
      CallHandler.Dependencies parts,
      DrawHandler draws,
      LongSupplier knowledgeAge,
      BooleanSupplier refusing) {
    int threads = settings.getWorkerThreads();
    this.draws = draws;
    this.workers =
        new ThreadPoolExecutor(
            threads, threads, 1, TimeUnit.MINUTES, new ArrayBlockingQueue<>(threads * 4));
    this.gatekeeper = new Gatekeeper(state, parts.upstreams(), workers, threads, parts.clock());
    this.calls =
        new CallHandler(parts, gatekeeper, pool -> state.config().inFlightPerUpstream(pool));
    EntryHandler entry =
        new EntryHandler(
            state,
            calls,
            draws,
            knowledgeAge,
            refusing,
            parts.tracing(),
            parts.clock(),
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
            .setHandler(entry)
            .build();
    undertow.start();
  }

  /** Drops what waits in vain; called on a timer. */
  public void runRound() {
    gatekeeper.runRound();
  }

  /** Returns how many calls and draws are open. */
  public int openRequests() {
    return calls.openCalls() + draws.openDraws();
  }

  /** Cuts the open calls that came with withdrawn keys. */
  public void abortCallsWithKeys(Set<String> hashes) {
    calls.abortCallsWithKeys(hashes);
  }

  @Override
  public void close() {
    undertow.stop();
    workers.shutdownNow();
  }
}
