package org.marigoldmill.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.cli.explain.LogLine;
import org.marigoldmill.cli.explain.RequestTimeline;

/** Prints the log lines of one request from several instances, ordered by time. */
final class ExplainCommand implements Command {
  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "print the log lines of one request from all instances, ordered by time";
  }

  @Override
  public String example() {
    return "explain 7c41e09b52d6a3f8 one.log two.log";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions(
        "Id of a request, submission or item, or window=NUMBER; then log files, default: stdin");
    parser.accepts(
        "only", "Omit events of the involved instances and engines, such as lost dependencies");
  }

  @Override
  public int run(OptionSet options) {
    List<String> arguments = options.nonOptionArguments().stream().map(Object::toString).toList();
    if (arguments.isEmpty()) {
      throw new UsageException(
          "expected an id, followed by log files unless logs are read from standard input");
    }
    RequestTimeline timeline =
        RequestTimeline.of(arguments.get(0), readLines(arguments.subList(1, arguments.size())));
    List<LogLine> shown = options.has("only") ? timeline.matchingLines() : timeline.allLines();
    shown.forEach(ExplainCommand::print);
    if (shown.isEmpty()) {
      System.err.println("marigoldmill explain: no log line mentions " + arguments.get(0));
    }
    return shown.isEmpty() ? ExitCode.FAILED : ExitCode.DONE;
  }

  private static List<LogLine> readLines(List<String> files) {
    List<LogLine> lines = new ArrayList<>();
    if (files.isEmpty()) {
      parseLines(
          "stdin", new BufferedReader(new InputStreamReader(System.in, UTF_8)).lines(), lines);
    }
    for (String file : files) {
      Path path = Path.of(file);
      try (Stream<String> rawLines = Files.lines(path)) {
        parseLines(path.getFileName().toString(), rawLines, lines);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    return lines;
  }

  private static void parseLines(String source, Stream<String> rawLines, List<LogLine> lines) {
    rawLines.flatMap(t -> LogLine.parse(source, t).stream()).forEach(lines::add);
  }

  private static void print(LogLine line) {
    System.out.printf(
        "%s %s %s %s%n",
        Instant.ofEpochMilli(line.timestampMs()), line.instance(), line.logger(), line.message());
  }
}
