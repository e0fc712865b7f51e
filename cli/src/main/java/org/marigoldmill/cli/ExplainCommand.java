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
import org.marigoldmill.cli.explain.RequestStory;

/** Gathers the log lines of one request over several instances, in order of time. */
final class ExplainCommand implements Command {
  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "gather the log lines of one request from all instances, in order of time";
  }

  @Override
  public String example() {
    return "explain 7c41e09b52d6a3f8 one.log two.log";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.nonOptions("Id of a request, submission or item, or window=NUMBER; then log files");
    parser.accepts("only", "Leave out what the instances and engines involved went through");
  }

  @Override
  public int run(OptionSet options) {
    List<String> words = options.nonOptionArguments().stream().map(Object::toString).toList();
    if (words.isEmpty()) {
      throw new UsageException("expected an id, and log files unless they come on standard input");
    }
    RequestStory story = RequestStory.of(words.get(0), lines(words.subList(1, words.size())));
    List<LogLine> shown = options.has("only") ? story.told() : story.all();
    shown.forEach(ExplainCommand::print);
    if (shown.isEmpty()) {
      System.err.println("marigoldmill explain: no line names " + words.get(0));
    }
    return shown.isEmpty() ? ExitCode.FAILED : ExitCode.DONE;
  }

  private static List<LogLine> lines(List<String> files) {
    List<LogLine> lines = new ArrayList<>();
    if (files.isEmpty()) {
      read("stdin", new BufferedReader(new InputStreamReader(System.in, UTF_8)).lines(), lines);
    }
    for (String file : files) {
      Path path = Path.of(file);
      try (Stream<String> text = Files.lines(path)) {
        read(path.getFileName().toString(), text, lines);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    return lines;
  }

  private static void read(String source, Stream<String> text, List<LogLine> lines) {
    text.flatMap(t -> LogLine.parse(source, t).stream()).forEach(lines::add);
  }

  private static void print(LogLine line) {
    System.out.printf(
        "%s %s %s %s%n",
        Instant.ofEpochMilli(line.timestamp()), line.instance(), line.logger(), line.message());
  }
}
