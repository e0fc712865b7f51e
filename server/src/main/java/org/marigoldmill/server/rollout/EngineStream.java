package org.marigoldmill.server.rollout;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.submission.EventSplitter;
import org.marigoldmill.http.HttpStream;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.upstream.GenerateEvent;
import org.marigoldmill.schema.upstream.Sample;
import org.marigoldmill.schema.upstream.VersionSpan;
import org.marigoldmill.server.Clock;

/** Reads one generation's event stream and records the weight version of each token. */
final class EngineStream {
  private static final int CHUNK_BYTES = 8 * 1024;
  private static final String DATA_PREFIX = "data: ";
  private static final int PACE_WINDOW_TOKENS = 4;

  /** Receives the duration of each window of tokens. */
  @FunctionalInterface
  interface PaceListener {
    /** Records a number of tokens and the milliseconds they took. */
    void observe(int tokens, long ms);
  }

  private final String requestId;
  private final Clock clock;
  private final PaceListener pace;
  private final List<String> tokens = new ArrayList<>();
  private final List<VersionSpan.Builder> spans = new ArrayList<>();
  private boolean done;
  private long windowStartMs;

  EngineStream(String requestId, Clock clock, PaceListener pace) {
    this.requestId = requestId;
    this.clock = clock;
    this.pace = pace;
  }

  /**
   * Reads a response to its end.
   *
   * @param response the streamed response
   * @param wanted whether the result is still needed; checked after each line
   * @return the tokens and spans; empty when the response is malformed, truncated, too large,
   *     belongs to another request or is no longer needed
   */
  Optional<Sample.Builder> read(HttpStream response, BooleanSupplier wanted) {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    byte[] chunk = new byte[CHUNK_BYTES];
    for (int n = response.read(chunk); n >= 0; n = response.read(chunk)) {
      for (int i = 0; i < n; i++) {
        if (chunk[i] != '\n') {
          if (line.size() >= EventSplitter.MAX_EVENT_BYTES) {
            return Optional.empty();
          }
          line.write(chunk[i]);
        } else if (!acceptLine(line) || !wanted.getAsBoolean()) {
          return Optional.empty();
        }
      }
    }
    return done ? Optional.of(sample()) : Optional.empty();
  }

  private boolean acceptLine(ByteArrayOutputStream line) {
    String text = line.toString(UTF_8);
    line.reset();
    if (!text.startsWith(DATA_PREFIX)) {
      return true;
    }
    try {
      return acceptEvent(
          ProtoJson.parse(
              text.substring(DATA_PREFIX.length()), GenerateEvent.getDefaultInstance()));
    } catch (MarigoldmillException e) {
      return false;
    }
  }

  private boolean acceptEvent(GenerateEvent event) {
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

  /** Leaves out the time to the first token, because it includes queueing at the engine. */
  private void observePace() {
    if ((tokens.size() - 1) % PACE_WINDOW_TOKENS != 0) {
      return;
    }
    long now = clock.now();
    if (tokens.size() > 1) {
      pace.observe(PACE_WINDOW_TOKENS, now - windowStartMs);
    }
    windowStartMs = now;
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
