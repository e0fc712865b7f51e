package org.marigoldmill.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.marigoldmill.schema.standin.Run;
import org.marigoldmill.schema.standin.RunList;

/** What an upstream stand-in has received, for the oracle. */
public final class ReceivedRequests {
  private static final int RUNS_KEPT = 200_000;

  private final List<Entry> entries = new ArrayList<>();
  private final Set<String> headerLines = new TreeSet<>();

  /** One execution. */
  static final class Entry {
    private final Run.Builder run;

    private Entry(Run.Builder run) {
      this.run = run;
    }

    synchronized void token() {
      run.setTokens(run.getTokens() + 1);
    }

    synchronized void finish() {
      run.setFinished(true);
    }

    private synchronized Run snapshot() {
      return run.build();
    }
  }

  synchronized Entry start(HttpServerExchange exchange, String body) {
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
    if (entries.size() < RUNS_KEPT) {
      entries.add(entry);
    }
    return entry;
  }

  /** Returns everything seen. */
  public synchronized RunList runs() {
    return RunList.newBuilder()
        .addAllRuns(entries.stream().map(Entry::snapshot).toList())
        .addAllHeaderLines(headerLines)
        .build();
  }
}
