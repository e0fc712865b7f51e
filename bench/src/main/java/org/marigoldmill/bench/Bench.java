package org.marigoldmill.bench;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.marigoldmill.schema.bench.BenchFigure;
import org.marigoldmill.schema.bench.BenchReport;
import org.marigoldmill.schema.bench.BenchRow;

/** Runs the measurements, which are registered by name. */
public final class Bench {
  private static final Map<String, LongFunction<List<BenchRow>>> MEASUREMENTS =
      new TreeMap<>(
          Map.of(
              "membership", MembershipBench::run,
              "reduction", ReductionBench::run,
              "routing", RoutingBench::run,
              "fairness", FairnessBench::run,
              "rollout", RolloutBench::run,
              "hop", HopBench::run));

  private Bench() {}

  /** Returns the names of the measurements. */
  public static List<String> names() {
    return List.copyOf(MEASUREMENTS.keySet());
  }

  /** Runs one measurement. */
  public static BenchReport run(String name, long seed) {
    return BenchReport.newBuilder()
        .setName(name)
        .setSeed(seed)
        .addAllRows(MEASUREMENTS.get(name).apply(seed))
        .build();
  }

  static BenchRow row(String label, BenchFigure... figures) {
    return BenchRow.newBuilder().setLabel(label).addAllFigures(List.of(figures)).build();
  }

  static BenchFigure figure(String name, String unit, double value) {
    return BenchFigure.newBuilder().setName(name).setUnit(unit).setValue(value).build();
  }
}
