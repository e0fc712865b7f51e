package org.marigoldmill.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.bench.emulator.Emulator;
import org.marigoldmill.bench.emulator.EmulatorResult;
import org.marigoldmill.schema.bench.BenchFigure;
import org.marigoldmill.schema.bench.BenchReport;
import org.marigoldmill.schema.bench.BenchRow;
import org.marigoldmill.schema.settings.EmulatorScenario;
import org.marigoldmill.server.settings.SettingsReader;

/** Simulates a scenario in virtual time and compares scheduling policies. */
final class EmulateCommand implements Command {
  private static final String SEED = "seed";
  private static final String SEEDS = "seeds";
  private static final String POLICY = "policy";

  @Override
  public String name() {
    return "emulate";
  }

  @Override
  public String summary() {
    return "simulate a scenario in virtual time; policies: "
        + String.join(", ", Emulator.policies());
  }

  @Override
  public String example() {
    return "emulate bench/scenarios/slow.toml --seed 1 --seeds 20 --policy all --format json";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("Scenario file in TOML");
    parser.accepts(SEED, "First seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    parser
        .accepts(SEEDS, "Number of consecutive seeds to simulate; results are means over them")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(1);
    parser.accepts(POLICY, "Policy to simulate, or all").withRequiredArg().defaultsTo("product");
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    Path file = Path.of(Command.singleArgument(options, "a scenario file"));
    EmulatorScenario scenario = SettingsReader.read(file, EmulatorScenario.getDefaultInstance());
    long seed = (Long) options.valueOf(SEED);
    int seeds = (Integer) options.valueOf(SEEDS);
    if (seeds < 1) {
      throw new UsageException("--seeds: expected 1 or more but found " + seeds);
    }
    BenchReport.Builder report = BenchReport.newBuilder().setName(file.toString()).setSeed(seed);
    selectedPolicies(options.valueOf(POLICY).toString())
        .forEach(p -> report.addRows(emulate(scenario, seed, seeds, p)));
    OperatorCall.print(options, report.build(), BenchCommand::formatText);
    return ExitCode.DONE;
  }

  private static List<String> selectedPolicies(String requested) {
    if (requested.equals("all")) {
      return List.copyOf(Emulator.policies());
    }
    if (!Emulator.policies().contains(requested)) {
      throw new UsageException(
          "--policy: expected all or one of " + Emulator.policies() + " but found " + requested);
    }
    return List.of(requested);
  }

  private static BenchRow emulate(EmulatorScenario scenario, long seed, int seeds, String policy) {
    List<EmulatorResult> results =
        LongStream.range(seed, seed + seeds)
            .mapToObj(s -> Emulator.simulate(scenario, s, policy))
            .toList();
    return BenchRow.newBuilder()
        .setLabel(policy)
        .addFigures(mean("worth", "of 1", results, EmulatorResult::worth))
        .addFigures(mean("worst trainer", "of 1", results, EmulatorResult::lowestWorth))
        .addFigures(mean("in time", "groups", results, r -> r.total().inTime()))
        .addFigures(mean("late", "groups", results, r -> r.total().late()))
        .addFigures(mean("owed", "groups", results, r -> r.total().owed()))
        .addFigures(mean("loads", "loads", results, EmulatorResult::loads))
        .addFigures(mean("moves", "runs", results, EmulatorResult::moves))
        .build();
  }

  private static BenchFigure mean(
      String name,
      String unit,
      List<EmulatorResult> results,
      ToDoubleFunction<EmulatorResult> extractor) {
    double mean = results.stream().collect(Collectors.averagingDouble(extractor));
    return BenchFigure.newBuilder().setName(name).setUnit(unit).setValue(mean).build();
  }
}
