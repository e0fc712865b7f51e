package org.marigoldmill.bench.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.marigoldmill.schema.settings.EmulatorScenario;

/** One trainer: asks for steps, waits for their groups, trains, and names versions. */
final class EmulatedTrainer {
  /** Share of a group's worth that one earns that comes after it was due. */
  static final double LATE_SHARE = 0.375;

  private static final long FIRST_VERSION = 1;

  private final String model;
  private final EmulatorScenario scenario;
  private final Random random;
  private final List<EmulatedStep> steps = new ArrayList<>();
  private long named = FIRST_VERSION;
  private long namedAt;
  private long trainedAt = Long.MAX_VALUE;
  private int planned;

  EmulatedTrainer(String model, EmulatorScenario scenario, Random random) {
    this.model = model;
    this.scenario = scenario;
    this.random = random;
  }

  String model() {
    return model;
  }

  long named() {
    return named;
  }

  long namedAt() {
    return namedAt;
  }

  /** Returns the step in progress. */
  Optional<EmulatedStep> open() {
    return last().filter(s -> !s.ended());
  }

  Optional<EmulatedStep> last() {
    return steps.isEmpty() ? Optional.empty() : Optional.of(steps.get(steps.size() - 1));
  }

  /** Returns the oldest version that the next step will accept. */
  long nextMinVersion() {
    return Math.max(FIRST_VERSION, planned - scenario.getLag());
  }

  /** Returns the number of steps that the day has time for. */
  int stepsOwed() {
    return (int) ((scenario.getLengthMs() + scenario.getPeriodMs() - 1) / scenario.getPeriodMs());
  }

  /** Ends, trains, names and asks as time passes. */
  void act(long now) {
    open()
        .filter(s -> s.satisfied() || now - s.askedAt() >= scenario.getGiveUpMs())
        .ifPresent(
            s -> {
              s.end();
              trainedAt = now + scenario.getTrainMs();
            });
    if (now >= trainedAt) {
      trainedAt = Long.MAX_VALUE;
      if (planned > named) {
        named = planned;
        namedAt = now;
      }
    }
    boolean free = open().isEmpty() && trainedAt == Long.MAX_VALUE;
    boolean due = now >= (long) planned * scenario.getPeriodMs() && planned <= named;
    if (free && due && now < scenario.getLengthMs()) {
      ask(now);
    }
  }

  private void ask(long now) {
    int wanted = (int) Math.ceil(scenario.getWantedShare() * scenario.getGroups());
    EmulatedStep step = new EmulatedStep(model, now, nextMinVersion(), wanted);
    for (int group = 0; group < scenario.getGroups(); group++) {
      for (int i = 0; i < scenario.getGroupSize(); i++) {
        int events = events();
        double error = Math.exp(scenario.getHintSpread() * random.nextGaussian());
        int expected = (int) Math.max(1, Math.round(events * error));
        String id = model + "-" + planned + "-" + group + "-" + i;
        step.add(new EmulatedItem(step, id, group, events, expected));
      }
    }
    steps.add(step);
    planned++;
  }

  /** Draws a length from a lognormal distribution with the scenario's mean. */
  private int events() {
    double spread = scenario.getEventsSpread();
    double logMean = Math.log(scenario.getEventsMean()) - spread * spread / 2;
    double drawn = Math.exp(logMean + spread * random.nextGaussian());
    return (int) Math.max(1, Math.min(scenario.getEventsMax(), Math.round(drawn)));
  }

  /** Counts what the groups that were owed have earned. */
  EmulatorResult.GroupCounts earned() {
    int wanted = (int) Math.ceil(scenario.getWantedShare() * scenario.getGroups());
    int inTime = 0;
    int late = 0;
    for (EmulatedStep step : steps) {
      List<Long> counted = step.completedAt().stream().limit(step.wantedGroups()).toList();
      int due =
          (int) counted.stream().filter(t -> t - step.askedAt() <= scenario.getDueMs()).count();
      inTime += due;
      late += counted.size() - due;
    }
    int owed = wanted * stepsOwed();
    return new EmulatorResult.GroupCounts(owed, inTime, late);
  }
}
