package org.marigoldmill.cli;

import java.util.stream.Collectors;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.bench.Bench;
import org.marigoldmill.schema.bench.BenchReport;
import org.marigoldmill.schema.bench.BenchRow;

/** Runs one benchmark and prints its results. */
final class BenchCommand implements Command {
  private static final String SEED = "seed";

  @Override
  public String name() {
    return "bench";
  }

  @Override
  public String summary() {
    return "run a benchmark: " + String.join(", ", Bench.names());
  }

  @Override
  public String example() {
    return "bench membership --seed 1 --format json";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("Name of the benchmark");
    parser
        .accepts(SEED, "Seed of the random number generator")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(1L);
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    String name = Command.singleArgument(options, "one of " + Bench.names());
    if (!Bench.names().contains(name)) {
      throw new UsageException("expected one of " + Bench.names() + " but found '" + name + "'");
    }
    BenchReport report = Bench.run(name, (Long) options.valueOf(SEED));
    OperatorCall.print(options, report, BenchCommand::formatText);
    return ExitCode.DONE;
  }

  static String formatText(BenchReport report) {
    return report.getRowsList().stream()
        .map(BenchCommand::formatRow)
        .collect(Collectors.joining("\n"));
  }

  private static String formatRow(BenchRow row) {
    return row.getFiguresList().stream()
        .map(f -> "%s %.3g %s".formatted(f.getName(), f.getValue(), f.getUnit()))
        .collect(Collectors.joining("; ", row.getLabel() + ": ", ""));
  }
}
