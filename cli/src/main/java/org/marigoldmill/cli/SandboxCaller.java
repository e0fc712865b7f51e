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

/**
 * Calls a plain service and a model service in turn for one organisation, and verifies the
 * responses.
 */
final class SandboxCaller implements AutoCloseable {
  private static final int MAX_TOKENS = 16;
  private static final int THINK_TIME_MS = 20;
  private static final long HIGHEST_TRACKABLE_MICROS = 60_000_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000;
  private static final String TOKEN_FIELD = "\"token\":";

  private final String organisation;
  private final String key;
  private final List<String> entryAddresses;
  private final Random random;
  private final HttpClient client;
  private final Histogram latenciesMicros =
      new ConcurrentHistogram(HIGHEST_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong wrongAnswers = new AtomicLong();
  private final AtomicLong tokensReceived = new AtomicLong();
  private final Thread thread;
  private volatile boolean stopped;

  SandboxCaller(String organisation, String key, List<String> entryAddresses, long seed) {
    this.organisation = organisation;
    this.key = key;
    this.entryAddresses = entryAddresses;
    this.random = new Random(seed);
    this.client = HttpClient.create("caller-" + organisation, 1);
    this.thread = new Thread(this::run, "caller-" + organisation);
    thread.start();
  }

  /** Stops sending requests and waits for the last response. */
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

  long tokensReceived() {
    return tokensReceived.get();
  }

  long wrongAnswers() {
    return wrongAnswers.get();
  }

  org.marigoldmill.schema.standin.SandboxCaller report() {
    return org.marigoldmill.schema.standin.SandboxCaller.newBuilder()
        .setOrganisation(organisation)
        .setAnswered(answered.get())
        .setRefused(refused.get())
        .setWrongAnswers(wrongAnswers.get())
        .setP50Ms(latenciesMicros.getValueAtPercentile(50) / MICROS_PER_MS)
        .setP99Ms(latenciesMicros.getValueAtPercentile(99) / MICROS_PER_MS)
        .build();
  }

  @Override
  public void close() {
    client.close();
  }

  private void run() {
    for (int sequence = 0; !stopped; sequence++) {
      String entry = entryAddresses.get(random.nextInt(entryAddresses.size()));
      long startNs = System.nanoTime();
      try {
        boolean valid = sequence % 2 == 0 ? callPlain(entry, sequence) : callModel(entry, sequence);
        wrongAnswers.addAndGet(valid ? 0 : 1);
        latenciesMicros.recordValue((System.nanoTime() - startNs) / 1_000);
      } catch (HttpCallException e) {
        refused.incrementAndGet();
      }
      sleepThinkTime();
    }
  }

  private boolean callPlain(String entry, int sequence) {
    String text = organisation + "-" + sequence;
    HttpResponse response = post(entry, "/v1/lookups/call", text.getBytes(StandardCharsets.UTF_8));
    return !response.successful() || response.text().equals("echo:" + text);
  }

  private boolean callModel(String entry, int sequence) {
    GenerateRequest request =
        GenerateRequest.newBuilder()
            .setRequestId(organisation + "-" + sequence)
            .setModel("assistant")
            .setPrompt(organisation + random.nextInt())
            .setMaxTokens(MAX_TOKENS)
            .build();
    HttpResponse response = post(entry, "/v1/assistant/generate", ProtoJson.bytes(request));
    if (!response.successful()) {
      return true;
    }
    List<String> lines = response.text().lines().filter(l -> l.startsWith("data: ")).toList();
    tokensReceived.addAndGet(lines.stream().filter(l -> l.contains(TOKEN_FIELD)).count());
    GenerateEvent last =
        ProtoJson.parse(
            lines.get(lines.size() - 1).substring(6), GenerateEvent.getDefaultInstance());
    return last.getDone()
        && last.getTotal() == lines.size() - 1
        && last.getRequestId().equals(request.getRequestId());
  }

  private HttpResponse post(String entry, String path, byte[] body) {
    HttpResponse response =
        client.exchange(
            HttpCall.post(entry, path, body)
                .headers(List.of(new Header("Authorization", "Bearer " + key))));
    (response.successful() ? answered : refused).incrementAndGet();
    return response;
  }

  private static void sleepThinkTime() {
    try {
      Thread.sleep(THINK_TIME_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
