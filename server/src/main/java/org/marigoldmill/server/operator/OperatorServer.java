package org.marigoldmill.server.operator;

import com.google.protobuf.MessageOrBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.key.KeyDirectory;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.operator.PublishReply;
import org.marigoldmill.schema.operator.WithdrawRequest;
import org.marigoldmill.server.Metrics;

/** HTTP server for operators: metrics, health, state, publishing, key withdrawal and drain. */
public final class OperatorServer implements AutoCloseable {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  /** Provides the state and the operations behind the endpoints. */
  public interface Backend {
    /** Returns whether a load balancer may send callers to this instance. */
    boolean ready();

    /** Returns the state of a kind, which is a key of {@link OperatorServer#kinds}. */
    MessageOrBuilder show(String kind);

    /** Publishes a declaration; a dry run only validates it. */
    PublishReply publish(Declaration declaration, boolean dryRun);

    /** Withdraws the API keys with these SHA-256 hashes, in hexadecimal digits. */
    PublishReply withdraw(List<String> hashes);

    /** Starts a graceful shutdown. */
    void drain();
  }

  private final HttpServer server;

  /** Starts a server that listens on the address, which has the form {@code host:port}. */
  public OperatorServer(String address, Backend backend, Metrics metrics) {
    this.server =
        HttpServer.forAddress(address)
            .get("/metrics", q -> metrics(metrics))
            .get("/health", q -> HttpResponse.text(200, "ok"))
            .get("/ready", q -> ready(backend))
            .get("/show/{what}", q -> HttpResponse.json(backend.show(stateKind(q))))
            .post("/declaration", q -> publish(q, backend))
            .post("/withdrawal", q -> withdraw(q, backend))
            .post("/drain", q -> drain(backend))
            .start();
  }

  @Override
  public void close() {
    server.close();
  }

  private static HttpResponse metrics(Metrics metrics) {
    return new HttpResponse(
        200, List.of(new Header("Content-Type", METRICS_CONTENT_TYPE)), metrics.toPrometheusText());
  }

  private static HttpResponse ready(Backend backend) {
    return backend.ready() ? HttpResponse.text(200, "ready") : HttpResponse.text(503, "not ready");
  }

  private static HttpResponse publish(Request request, Backend backend) {
    Declaration declaration = request.message(Declaration.getDefaultInstance());
    boolean dryRun = request.query("dry_run").map(Boolean::parseBoolean).orElse(false);
    return status(backend.publish(declaration, dryRun));
  }

  private static HttpResponse withdraw(Request request, Backend backend) {
    WithdrawRequest withdrawal = request.message(WithdrawRequest.getDefaultInstance());
    List<String> hashes = new ArrayList<>(withdrawal.getSha256List());
    withdrawal.getKeysList().forEach(k -> hashes.add(KeyDirectory.hash(k)));
    if (hashes.isEmpty() || !hashes.stream().allMatch(h -> SHA256.matcher(h).matches())) {
      throw MarigoldmillException.of(
          ErrorKind.BAD_REQUEST, "expected the SHA-256 of a key as 64 hexadecimal digits");
    }
    return status(backend.withdraw(hashes));
  }

  private static HttpResponse status(PublishReply reply) {
    int status =
        switch (reply.getOutcome()) {
          case CONFLICT -> ErrorKind.REVISION_CONFLICT.status();
          case INVALID -> ErrorKind.INVALID_DECLARATION.status();
          case UNKNOWN -> ErrorKind.LOG_UNAVAILABLE.status();
          default -> 200;
        };
    return HttpResponse.json(status, ProtoJson.compact(reply));
  }

  private static HttpResponse drain(Backend backend) {
    backend.drain();
    return HttpResponse.json(200, "{}");
  }

  private static String stateKind(Request request) {
    return request.query("what").orElse("");
  }

  /** Returns the kinds of state that can be shown, with a description of each. */
  public static Map<String, String> kinds() {
    return Map.of(
        "config", "declaration in force and its revision",
        "instances", "entry instances and their liveness",
        "jobs", "rollout jobs run by the instance",
        "leases", "who is in charge of what",
        "usage", "usage windows",
        "upstreams", "upstreams and the requests outstanding there");
  }
}
