package org.marigoldmill.server.rollout;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.upstream.GenerateEvent;
import org.marigoldmill.schema.upstream.Sample;
import org.marigoldmill.schema.upstream.VersionSpan;
import org.marigoldmill.server.Clock;

/** Reads one generation from an engine and keeps the versions that the engine names. */
final class EngineStream {
  private static final int CHUNK_BYTES = 8 * 1024;
  private static final String DATA = "data: ";
  private static final int STRETCH_TOKENS = 4;

  /** Told of each stretch of tokens with its duration. */
  @FunctionalInterface
  interface Pace {
    /** Takes in a stretch. */
    void observe(int tokens, long ms);
  }

  private final String requestId;
  private final Clock clock;
  private final Pace pace;
  private final List<String> tokens = new ArrayList<>();
  private final List<VersionSpan.Builder> spans = new ArrayList<>();
  private boolean done;
  private long stretchBegan;

  EngineStream(String requestId, Clock clock, Pace pace) {
    this.requestId = requestId;
    this.clock = clock;
    this.pace = pace;
  }

  /**
   * Reads an answer to its end.
   *
   * @param answer the answer as it arrives
   * @param wanted whether the result is still of use
   * @return the tokens and spans, or empty when the answer is foreign, not whole or not wanted
   */
  Optional<Sample.Builder> read(HttpStream answer, BooleanSupplier wanted) {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    byte[] chunk = new byte[CHUNK_BYTES];
    for (int n = answer.read(chunk); n >= 0; n = answer.read(chunk)) {
      for (int i = 0; i < n; i++) {
        if (chunk[i] != '\n') {
          line.write(chunk[i]);
        } else if (!takeLine(line) || !wanted.getAsBoolean()) {
          return Optional.empty();
        }
      }
    }
    return done ? Optional.of(sample()) : Optional.empty();
  }

  private boolean takeLine(ByteArrayOutputStream line) {
    String text = line.toString(UTF_8);
    line.reset();
    if (!text.startsWith(DATA)) {
      return true;
    }
    try {
      return take(
          ProtoJson.parse(text.substring(DATA.length()), GenerateEvent.getDefaultInstance()));
    } catch (MarigoldmillException e) {
      return false;
    }
  }

  private boolean take(GenerateEvent event) {
    boolean inOrder = event.getIndex() == tokens.size() && !done;
    if (!event.getRequestId().equals(requestId) || !inOrder) {
      return false;
    }
    if (event.getDone()) {
      done = event.getTotal() == tokens.size();
      return done;
    }
    if (event.getVersion() <= 0) {
      return false;
    }
    tokens.add(event.getToken());
    extendSpans(event.getVersion());
    observePace();
    return true;
  }

  /** The first token says nothing, because it waits for its turn at the engine. */
  private void observePace() {
    if ((tokens.size() - 1) % STRETCH_TOKENS != 0) {
      return;
    }
    long now = clock.now();
    if (tokens.size() > 1) {
      pace.observe(STRETCH_TOKENS, now - stretchBegan);
    }
    stretchBegan = now;
  }

  private void extendSpans(long version) {
    boolean same = !spans.isEmpty() && spans.get(spans.size() - 1).getVersion() == version;
    if (!same) {
      spans.add(VersionSpan.newBuilder().setFirstToken(tokens.size() - 1).setVersion(version));
    }
    VersionSpan.Builder last = spans.get(spans.size() - 1);
    last.setTokens(last.getTokens() + 1);
  }

  private Sample.Builder sample() {
    return Sample.newBuilder()
        .addAllTokens(tokens)
        .addAllSpans(spans.stream().map(VersionSpan.Builder::build).toList());
  }
}
