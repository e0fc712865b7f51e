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

/** Serves operators: metrics, health, state, publications and drain. */
public final class OperatorServer implements AutoCloseable {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  /** Where the answers come from. */
  public interface Backend {
    /** Returns whether the balancer may send callers here. */
    boolean ready();

    /** Returns one kind of state by its name. */
    MessageOrBuilder show(String what);

    /** Publishes a declaration. */
    PublishReply publish(Declaration declaration, boolean dryRun);

    /** Withdraws keys. */
    PublishReply withdraw(List<String> hashes);

    /** Starts a graceful shutdown. */
    void drain();
  }

  private final HttpServer server;

  /** Starts listening. */
  public OperatorServer(String address, Backend answers, Metrics metrics) {
    this.server =
        HttpServer.forAddress(address)
            .get("/metrics", q -> metrics(metrics))
            .get("/health", q -> HttpResponse.text(200, "ok"))
            .get("/ready", q -> ready(answers))
            .get("/show/{what}", q -> HttpResponse.json(answers.show(what(q))))
            .post("/declaration", q -> publish(q, answers))
            .post("/withdrawal", q -> withdraw(q, answers))
            .post("/drain", q -> drain(answers))
            .start();
  }

  @Override
  public void close() {
    server.close();
  }

  private static HttpResponse metrics(Metrics metrics) {
    return new HttpResponse(
        200, List.of(new Header("Content-Type", METRICS_TYPE)), metrics.toPrometheusText());
  }

  private static HttpResponse ready(Backend answers) {
    return answers.ready() ? HttpResponse.text(200, "ready") : HttpResponse.text(503, "not ready");
  }

  private static HttpResponse publish(Request question, Backend answers) {
    Declaration declaration = question.message(Declaration.getDefaultInstance());
    boolean dryRun = question.query("dry_run").map(Boolean::parseBoolean).orElse(false);
    return status(answers.publish(declaration, dryRun));
  }

  private static HttpResponse withdraw(Request question, Backend answers) {
    WithdrawRequest request = question.message(WithdrawRequest.getDefaultInstance());
    List<String> hashes = new ArrayList<>(request.getSha256List());
    request.getKeysList().forEach(k -> hashes.add(KeyDirectory.hash(k)));
    if (hashes.isEmpty() || !hashes.stream().allMatch(h -> SHA256.matcher(h).matches())) {
      throw MarigoldmillException.of(
          ErrorKind.BAD_REQUEST, "expected the SHA-256 of a key as 64 hexadecimal digits");
    }
    return status(answers.withdraw(hashes));
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

  private static HttpResponse drain(Backend answers) {
    answers.drain();
    return HttpResponse.json(200, "{}");
  }

  private static String what(Request question) {
    return question.query("what").orElse("");
  }

  /** Returns the kinds of state that can be shown. */
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
