package org.marigoldmill.cli.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Clock, event log and broken promises of one run; times are milliseconds since its start. */
final class SoakLog implements AutoCloseable {
  /** The promises of the service to its callers and upstreams. */
  enum Promise {
    LOST,
    MIXED,
    TWICE,
    REFUSED,
    DENIED,
    CONFIG,
    SUBMISSION,
    STOP
  }

  /** A broken promise. */
  record Violation(long atMs, Promise promise, String detail) {}

  private final long startedNanos = System.nanoTime();
  private final List<Violation> violations = new CopyOnWriteArrayList<>();
  private final PrintWriter out;

  SoakLog(Path directory) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(directory.resolve("soak.log")), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    event("started at Unix ms %d", System.currentTimeMillis());
  }

  long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
  }

  void event(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    out.printf(Locale.ROOT, "%8d %s%n", now(), text);
  }

  void violation(Promise promise, String format, Object... arguments) {
    String detail = String.format(Locale.ROOT, format, arguments).replace("\n", "\\n");
    violations.add(new Violation(now(), promise, detail));
    event("BROKEN %s %s", promise, detail);
  }

  List<Violation> violations() {
    return List.copyOf(violations);
  }

  @Override
  public void close() {
    out.close();
  }
}
