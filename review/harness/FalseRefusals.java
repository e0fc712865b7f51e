import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** One of seven engines runs requests and answers some of them 429, without saying "not run". */
final class FalseRefusals extends Case {
  private static final int ENGINES = 7;
  private static final int REQUESTS = 240;

  /** Share of its requests that the engine in trouble fails. */
  private static final double FAILING_SHARE = 0.4;

  private static final int TOO_MANY_REQUESTS = 429;
  private static final Set<Integer> PROMISES = Set.of(408, 421, TOO_MANY_REQUESTS, 503);

  /** Requests that an engine has run to their end. */
  private final Set<String> run = ConcurrentHashMap.newKeySet();

  private FalseRefusals(String[] arguments) throws Exception {
    super(arguments);
  }

  public static void main(String[] arguments) throws Exception {
    new FalseRefusals(arguments).end();
  }

  @Override
  int play() throws Exception {
    String booking =
        route(
            "booking", "mutating", "app", ",\"timeout_ms\":3000,\"slo_ms\":300,\"max_attempts\":2");
    store.put("op", "config", config(1, booking, "\"key-one\""));
    for (int i = 0; i < ENGINES; i++) {
      Engine engine = new Engine("i-" + (i + 1), "app", i % 2 == 0 ? "z1" : "z2", "", 6, record);
      boolean failing = trouble && i == 0;
      engine.work = (request, connection) -> book(engine, failing, request, connection);
      store.put("servers", engine.id, engine.entry("ready"));
    }
    Deployment.Instance one = deployment.start("edge-1", "z1");
    Deployment.Instance two = deployment.start("edge-2", "z2");
    if (!deployment.awaitReady(30_000)) {
      return NOT_RUN;
    }
    int served = 0;
    int falsePromises = 0;
    int appliedTwice = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = newId("booking");
      Http.Message answer =
          call(i % 2 == 0 ? one : two, "POST", "/booking/x", id, KEY, bytes("b"), 2_500);
      if (answer == null || answer.status() == 200) {
        served += answer == null ? 0 : 1;
        continue;
      }
      if (PROMISES.contains(answer.status()) && run.contains(id)) {
        falsePromises++;
        record.line("PROMISE BROKEN id=%s status=%d, but it has run", id, answer.status());
        // Requesters retry a mutating request after a promise, with a new id.
        String retry = newId("retry");
        call(i % 2 == 0 ? two : one, "POST", "/booking/x", retry, KEY, bytes("b"), 2_500);
        appliedTwice += run.contains(retry) ? 1 : 0;
      }
    }
    record.line(
        "requests=%d served=%d false_promises=%d applied_twice=%d",
        REQUESTS, served, falsePromises, appliedTwice);
    if (falsePromises > 0) {
      return broken("REFUSED: mutating requests that have run were answered 429");
    }
    return served > 0 ? RULE_HELD : NOT_RUN;
  }

  private void book(
      Engine engine, boolean failing, Http.Message request, Http.Connection connection)
      throws Exception {
    Http.pause(20);
    run.add(request.header("X-Attempt-Id"));
    if (failing && ThreadLocalRandom.current().nextDouble() < FAILING_SHARE) {
      record.line("engine=%s ran id=%s: 429", engine.id, request.header("X-Attempt-Id"));
      connection.respond(
          TOO_MANY_REQUESTS, engine.answerHeaders(request), bytes("booked, index not written"));
      return;
    }
    engine.answer(request, connection);
  }
}
