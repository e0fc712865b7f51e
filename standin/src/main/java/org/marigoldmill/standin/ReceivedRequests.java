package org.marigoldmill.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.marigoldmill.schema.standin.Run;
import org.marigoldmill.schema.standin.RunList;

/** Records the requests that a fake upstream receives, so that tests can check them. */
public final class ReceivedRequests {
  private static final int MAX_RUNS = 200_000;

  private final List<Entry> entries = new ArrayList<>();
  private final Set<String> headerLines = new TreeSet<>();

  /** Execution of one request. */
  static final class Entry {
    private final Run.Builder run;

    private Entry(Run.Builder run) {
      this.run = run;
    }

    synchronized void recordToken() {
      run.setTokens(run.getTokens() + 1);
    }

    synchronized void recordEnd() {
      run.setFinished(true);
    }

    private synchronized Run snapshot() {
      return run.build();
    }
  }

  synchronized Entry recordStart(HttpServerExchange exchange, String body) {
    for (HeaderValues values : exchange.getRequestHeaders()) {
      values.forEach(v -> headerLines.add(values.getHeaderName() + ": " + v));
    }
    String organisation = exchange.getRequestHeaders().getFirst("X-Organisation");
    Entry entry =
        new Entry(
            Run.newBuilder()
                .setOrganisation(organisation == null ? "" : organisation)
                .setBody(body)
                .setAtMs(System.currentTimeMillis()));
    if (entries.size() < MAX_RUNS) {
      entries.add(entry);
    }
    return entry;
  }

  /** Returns the recorded executions and the distinct header lines. */
  public synchronized RunList runs() {
    return RunList.newBuilder()
        .addAllRuns(entries.stream().map(Entry::snapshot).toList())
        .addAllHeaderLines(headerLines)
        .build();
  }
}
