package org.marigoldmill.server.peer;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.marigoldmill.http.Addresses;
import org.marigoldmill.schema.peer.PeerGrpc;

/** Holds the gRPC channels to other entry instances, one per address. */
public final class PeerClient implements AutoCloseable {
  private static final long KEEPALIVE_SECONDS = 10;
  private static final long KEEPALIVE_TIMEOUT_SECONDS = 2;
  private static final int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

  private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

  /** Returns a stub whose calls end after a deadline in milliseconds. */
  public PeerGrpc.PeerBlockingStub to(String address, long deadlineMs) {
    ManagedChannel channel = channels.computeIfAbsent(address, PeerClient::open);
    return PeerGrpc.newBlockingStub(channel).withDeadlineAfter(deadlineMs, TimeUnit.MILLISECONDS);
  }

  /** Shuts down the channel to an address; the next call opens a new one. */
  public void reopen(String address) {
    ManagedChannel channel = channels.remove(address);
    if (channel != null) {
      channel.shutdownNow();
    }
  }

  @Override
  public void close() {
    channels.values().forEach(ManagedChannel::shutdownNow);
  }

  private static ManagedChannel open(String address) {
    InetSocketAddress parsed = Addresses.parse(address);
    return NettyChannelBuilder.forAddress(parsed)
        .usePlaintext()
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .keepAliveTime(KEEPALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveTimeout(KEEPALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .build();
  }
}
