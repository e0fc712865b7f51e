package org.marigoldmill.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpCallException;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.upstream.GenerateEvent;
import org.marigoldmill.schema.upstream.GenerateRequest;

/** One organisation that calls a model service and a plain service, and checks its answers. */
final class SandboxCaller implements AutoCloseable {
  private static final int MAX_TOKENS = 16;
  private static final int THINK_MS = 20;
  private static final long HIGHEST_MICROS = 60_000_000;
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000;
  private static final String TOKEN = "\"token\":";

  private final String organisation;
  private final String key;
  private final List<String> entries;
  private final Random random;
  private final HttpClient client;
  private final Histogram micros = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong wrong = new AtomicLong();
  private final AtomicLong tokens = new AtomicLong();
  private final Thread thread;
  private volatile boolean stopped;

  SandboxCaller(String organisation, String key, List<String> entries, long seed) {
    this.organisation = organisation;
    this.key = key;
    this.entries = entries;
    this.random = new Random(seed);
    this.client = HttpClient.create("caller-" + organisation, 1);
    this.thread = new Thread(this::run, "caller-" + organisation);
    thread.start();
  }

  /** Ends the requests and waits for the last answer. */
  void finish() throws InterruptedException {
    stopped = true;
    thread.join();
  }

  String organisation() {
    return organisation;
  }

  long answered() {
    return answered.get();
  }

  long tokens() {
    return tokens.get();
  }

  long wrong() {
    return wrong.get();
  }

  org.marigoldmill.schema.standin.SandboxCaller report() {
    return org.marigoldmill.schema.standin.SandboxCaller.newBuilder()
        .setOrganisation(organisation)
        .setAnswered(answered.get())
        .setRefused(refused.get())
        .setWrongAnswers(wrong.get())
        .setP50Ms(micros.getValueAtPercentile(50) / MICROS_PER_MS)
        .setP99Ms(micros.getValueAtPercentile(99) / MICROS_PER_MS)
        .build();
  }

  @Override
  public void close() {
    client.close();
  }

  private void run() {
    for (int i = 0; !stopped; i++) {
      String entry = entries.get(random.nextInt(entries.size()));
      long begun = System.nanoTime();
      try {
        boolean ok = i % 2 == 0 ? callPlain(entry, i) : callModel(entry, i);
        wrong.addAndGet(ok ? 0 : 1);
        micros.recordValue((System.nanoTime() - begun) / 1_000);
      } catch (HttpCallException e) {
        refused.incrementAndGet();
      }
      pause();
    }
  }

  private boolean callPlain(String entry, int i) {
    String text = organisation + "-" + i;
    HttpResponse answer = post(entry, "/v1/lookups/call", text.getBytes(StandardCharsets.UTF_8));
    return !answer.successful() || answer.text().equals("echo:" + text);
  }

  private boolean callModel(String entry, int i) {
    GenerateRequest request =
        GenerateRequest.newBuilder()
            .setRequestId(organisation + "-" + i)
            .setModel("assistant")
            .setPrompt(organisation + random.nextInt())
            .setMaxTokens(MAX_TOKENS)
            .build();
    HttpResponse answer = post(entry, "/v1/assistant/generate", ProtoJson.bytes(request));
    if (!answer.successful()) {
      return true;
    }
    List<String> lines = answer.text().lines().filter(l -> l.startsWith("data: ")).toList();
    tokens.addAndGet(lines.stream().filter(l -> l.contains(TOKEN)).count());
    GenerateEvent last =
        ProtoJson.parse(
            lines.get(lines.size() - 1).substring(6), GenerateEvent.getDefaultInstance());
    return last.getDone()
        && last.getTotal() == lines.size() - 1
        && last.getRequestId().equals(request.getRequestId());
  }

  private HttpResponse post(String entry, String path, byte[] body) {
    HttpResponse answer =
        client.exchange(
            HttpCall.post(entry, path, body)
                .headers(List.of(new Header("Authorization", "Bearer " + key))));
    (answer.successful() ? answered : refused).incrementAndGet();
    return answer;
  }

  private static void pause() {
    try {
      Thread.sleep(THINK_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
