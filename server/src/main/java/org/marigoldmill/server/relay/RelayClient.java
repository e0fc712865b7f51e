package org.marigoldmill.server.relay;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.marigoldmill.core.placement.AllowedZones;
import org.marigoldmill.core.relay.RelayPeers;
import org.marigoldmill.core.relay.RelayPeers.Peer;
import org.marigoldmill.http.Cancellation;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.reachability.UpstreamPathMonitor;

/** Sends requests through other instances while this one reaches no upstream. */
public final class RelayClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Instances that a request is sent to at most. */
  private static final int MAX_PEERS_PER_REQUEST = 3;

  private static final long CONNECT_TIMEOUT_MS = 150;

  /** Part of the time left that the way back from the other instance may take. */
  private static final long HOP_MS = 10;

  /**
   * A request as it is sent to another instance.
   *
   * @param attempts number of attempts that the other instance may make
   * @param resumeAfter id of the event after which to resume a stream, if any
   * @param remainingMs time left until the caller's deadline, in milliseconds
   * @param progressTimeoutMs longest time without a byte, in milliseconds
   * @param fresh whether to use a new connection, on which a failure to send is certain
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Call(
      RelayOrder order,
      String method,
      String path,
      byte[] body,
      int attempts,
      OptionalLong resumeAfter,
      long remainingMs,
      long progressTimeoutMs,
      boolean fresh,
      Cancellation cancellation) {}

  private final UpstreamPathMonitor path;
  private final RelayPeers peers;
  private final HttpClient client;
  private final Clock clock;

  /**
   * Creates a client.
   *
   * @param path tells whether this instance reaches upstreams by itself
   */
  public RelayClient(UpstreamPathMonitor path, RelayPeers peers, HttpClient client, Clock clock) {
    this.path = path;
    this.peers = peers;
    this.client = client;
    this.clock = clock;
  }

  /** Returns whether requests cannot be sent to upstreams from here. */
  public boolean isNeeded() {
    return path.isLost();
  }

  /**
   * Chooses an instance to carry a request; its end must be recorded.
   *
   * @param tried names of the instances that the request has been sent to
   * @param zones zones to whose instances the request may be sent
   */
  public Optional<Peer> acquire(Set<String> tried, AllowedZones zones) {
    return tried.size() >= MAX_PEERS_PER_REQUEST
        ? Optional.empty()
        : peers.acquire(tried, zones, clock.now());
  }

  /**
   * Sends a request to an instance and returns once the head of its response has arrived.
   *
   * @throws HttpCallException if no response arrives
   */
  public HttpStream open(Peer peer, Call call) {
    RelayProtocol.Carried carried =
        new RelayProtocol.Carried(call.order().configVersion(), call.attempts());
    long remainingMs = Math.max(1, call.remainingMs() - HOP_MS);
    HttpCall sent =
        HttpCall.post(peer.address(), call.path(), call.body())
            .method(call.method())
            .headers(
                Stream.concat(
                        RelayProtocol.withoutRelayHeaders(
                            call.order().caller().headers(remainingMs, call.resumeAfter()))
                            .stream(),
                        RelayProtocol.requestHeaders(carried).stream())
                    .toList())
            .timeouts(
                CONNECT_TIMEOUT_MS,
                Math.min(call.progressTimeoutMs(), call.remainingMs()),
                call.remainingMs())
            .freshConnection(call.fresh())
            .cancellation(call.cancellation());
    return client.open(sent);
  }

  /** Returns what the instance says of the request in its response. */
  public RelayProtocol.Verdict verdict(HttpStream stream) {
    return RelayProtocol.verdict(stream.headers());
  }

  /** Records that an instance has answered, with or without an answer of an upstream. */
  public void recordAnswered(Peer peer) {
    peers.recordAnswered(peer.name());
  }

  /** Records that an instance cannot carry the request, which has not run. */
  public void recordRefused(String request, Peer peer) {
    peers.recordRefused(peer.name(), clock.now());
    logger.atInfo().log("relay refused id=%s peer=%s", request, peer.name());
  }

  /** Records that an instance was not reached, or was lost before its response was complete. */
  public void recordLost(Call call, String request, Peer peer, HttpCallException failure) {
    if (call.cancellation().isCancelled()) {
      peers.release(peer.name());
    } else {
      peers.recordLost(peer.name(), clock.now());
    }
    logger.atInfo().log(
        "relay lost id=%s peer=%s reason=%s sent=%s cancelled=%s",
        request,
        peer.name(),
        failure.reason(),
        failure.execution(),
        call.cancellation().isCancelled());
  }

  /** Records the end of a request that says nothing about the instance. */
  public void release(Peer peer) {
    peers.release(peer.name());
  }
}
