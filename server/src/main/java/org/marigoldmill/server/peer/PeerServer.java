package org.marigoldmill.server.peer;

import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.marigoldmill.http.Addresses;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.peer.ExchangeMessage;
import org.marigoldmill.schema.peer.HeldBatch;
import org.marigoldmill.schema.peer.HeldRequest;
import org.marigoldmill.schema.peer.HoldReply;
import org.marigoldmill.schema.peer.PeerGrpc;
import org.marigoldmill.schema.peer.RunClaim;
import org.marigoldmill.schema.peer.RunClaimReply;
import org.marigoldmill.schema.peer.SnapshotRequest;
import org.marigoldmill.schema.upstream.DrawReply;
import org.marigoldmill.schema.upstream.DrawRequest;

/** Serves the protocol between entry instances over gRPC. */
public final class PeerServer implements AutoCloseable {
  private static final int THREADS = 32;
  private static final int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
  private static final long PERMITTED_KEEPALIVE_SECONDS = 5;
  private static final long STOP_WAIT_MS = 1_000;

  /** Handles the requests of peers. */
  public interface Handler {
    /** Merges the peer's message and returns this process's own. */
    ExchangeMessage exchange(ExchangeMessage message);

    /** Returns the state reduced from the log. */
    Snapshot snapshot();

    /** Answers a draw forwarded by the peer. */
    DrawReply draw(DrawRequest request);

    /** Stores replicas of finished groups for the owner of their job. */
    void storeReplicas(HeldBatch batch);

    /** Returns the replicas that this process stores of a step's groups. */
    HeldBatch replicas(HeldRequest request);

    /** Returns whether the claim to run a request is granted. */
    boolean claimRun(RunClaim claim);
  }

  private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);
  private final Server server;

  /** Starts listening on a {@code host:port} address. */
  public PeerServer(String address, Handler handler) {
    try {
      this.server =
          NettyServerBuilder.forAddress(Addresses.parse(address))
              .executor(threads)
              .maxInboundMessageSize(MAX_MESSAGE_BYTES)
              .permitKeepAliveTime(PERMITTED_KEEPALIVE_SECONDS, TimeUnit.SECONDS)
              .permitKeepAliveWithoutCalls(true)
              .addService(new Service(handler))
              .build()
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + address, e);
    }
  }

  @Override
  public void close() {
    server.shutdown();
    try {
      server.awaitTermination(STOP_WAIT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    server.shutdownNow();
    threads.shutdownNow();
  }

  private static final class Service extends PeerGrpc.PeerImplBase {
    private final Handler handler;

    private Service(Handler handler) {
      this.handler = handler;
    }

    @Override
    public void exchange(ExchangeMessage request, StreamObserver<ExchangeMessage> reply) {
      respond(request, reply, handler::exchange);
    }

    @Override
    public void fetchSnapshot(SnapshotRequest request, StreamObserver<Snapshot> reply) {
      respond(request, reply, r -> handler.snapshot());
    }

    @Override
    public void draw(DrawRequest request, StreamObserver<DrawReply> reply) {
      respond(request, reply, handler::draw);
    }

    @Override
    public void hold(HeldBatch request, StreamObserver<HoldReply> reply) {
      respond(
          request,
          reply,
          r -> {
            handler.storeReplicas(r);
            return HoldReply.getDefaultInstance();
          });
    }

    @Override
    public void fetchHeld(HeldRequest request, StreamObserver<HeldBatch> reply) {
      respond(request, reply, handler::replicas);
    }

    @Override
    public void claimRun(RunClaim request, StreamObserver<RunClaimReply> reply) {
      respond(
          request, reply, r -> RunClaimReply.newBuilder().setGranted(handler.claimRun(r)).build());
    }

    private static <Q, A> void respond(Q request, StreamObserver<A> reply, Function<Q, A> work) {
      try {
        reply.onNext(work.apply(request));
        reply.onCompleted();
      } catch (RuntimeException e) {
        reply.onError(Status.INTERNAL.withDescription(e.getMessage()).asRuntimeException());
      }
    }
  }
}
