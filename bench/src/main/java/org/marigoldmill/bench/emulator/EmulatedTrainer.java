package org.marigoldmill.bench.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.marigoldmill.schema.settings.EmulatorScenario;

/** A trainer: submits steps, waits for their groups, trains, and publishes weight versions. */
final class EmulatedTrainer {
  /** Worth of a group that completes after its due time; a group in time is worth 1. */
  static final double LATE_GROUP_WORTH = 0.375;

  private static final long FIRST_VERSION = 1;

  private final String model;
  private final EmulatorScenario scenario;
  private final Random random;
  private final List<EmulatedStep> steps = new ArrayList<>();
  private long publishedVersion = FIRST_VERSION;
  private long publishedAtMs;
  private long trainingEndMs = Long.MAX_VALUE;
  private int submittedSteps;
  private List<List<EmulatedItem>> returningGroups = List.of();

  EmulatedTrainer(String model, EmulatorScenario scenario, Random random) {
    this.model = model;
    this.scenario = scenario;
    this.random = random;
  }

  String model() {
    return model;
  }

  long publishedVersion() {
    return publishedVersion;
  }

  long publishedAtMs() {
    return publishedAtMs;
  }

  /** Returns the step in progress. */
  Optional<EmulatedStep> openStep() {
    return lastStep().filter(s -> !s.ended());
  }

  Optional<EmulatedStep> lastStep() {
    return steps.isEmpty() ? Optional.empty() : Optional.of(steps.get(steps.size() - 1));
  }

  /** Returns the oldest version that the next step will accept. */
  long nextMinVersion() {
    return Math.max(FIRST_VERSION, submittedSteps - scenario.getLag());
  }

  /** Returns the number of steps that fit into the scenario's length. */
  int plannedSteps() {
    return (int) ((scenario.getLengthMs() + scenario.getPeriodMs() - 1) / scenario.getPeriodMs());
  }

  /** Ends the open step, publishes a version and submits the next step, each when it is due. */
  void advance(long now) {
    openStep()
        .filter(s -> s.hasWantedGroups() || now - s.submittedAtMs() >= scenario.getGiveUpMs())
        .ifPresent(
            s -> {
              s.end();
              if (scenario.getGroupsReturn()) {
                returningGroups = s.incompleteGroups();
              }
              trainingEndMs = now + scenario.getTrainMs();
            });
    if (now >= trainingEndMs) {
      trainingEndMs = Long.MAX_VALUE;
      if (submittedSteps > publishedVersion) {
        publishedVersion = submittedSteps;
        publishedAtMs = now;
      }
    }
    boolean free = openStep().isEmpty() && trainingEndMs == Long.MAX_VALUE;
    boolean due =
        now >= (long) submittedSteps * scenario.getPeriodMs() && submittedSteps <= publishedVersion;
    if (free && due && now < scenario.getLengthMs()) {
      submitStep(now);
    }
  }

  private void submitStep(long now) {
    int wanted = (int) Math.ceil(scenario.getWantedShare() * scenario.getGroups());
    List<List<EmulatedItem>> returning = returningGroups.stream().limit(wanted / 2).toList();
    EmulatedStep step = new EmulatedStep(model, now, nextMinVersion(), wanted, returning.size());
    for (int group = 0; group < returning.size(); group++) {
      for (EmulatedItem item : returning.get(group)) {
        EmulatedItem again = item.again(step, group);
        step.add(again);
        if (again.done()) {
          step.recordFinished(again, now);
        }
      }
    }
    for (int group = returning.size(); group < scenario.getGroups(); group++) {
      for (int i = 0; i < scenario.getGroupSize(); i++) {
        int events = sampleEventCount();
        double error = Math.exp(scenario.getHintSpread() * random.nextGaussian());
        int expected = (int) Math.max(1, Math.round(events * error));
        String id = model + "-" + submittedSteps + "-" + group + "-" + i;
        step.add(new EmulatedItem(step, id, group, events, expected));
      }
    }
    steps.add(step);
    submittedSteps++;
  }

  /** Samples an item's number of events from a lognormal distribution with the scenario's mean. */
  private int sampleEventCount() {
    double spread = scenario.getEventsSpread();
    double logMean = Math.log(scenario.getEventsMean()) - spread * spread / 2;
    double sampled = Math.exp(logMean + spread * random.nextGaussian());
    return (int) Math.max(1, Math.min(scenario.getEventsMax(), Math.round(sampled)));
  }

  /** Counts the groups that completed in time and late, of the wanted groups of all steps. */
  EmulatorResult.GroupCounts groupCounts() {
    int wanted = (int) Math.ceil(scenario.getWantedShare() * scenario.getGroups());
    int inTime = 0;
    int late = 0;
    for (EmulatedStep step : steps) {
      List<Long> counted = step.completionTimesMs().stream().limit(step.wantedGroups()).toList();
      int due =
          (int)
              counted.stream().filter(t -> t - step.submittedAtMs() <= scenario.getDueMs()).count();
      inTime += due;
      late += counted.size() - due;
    }
    int owed = wanted * plannedSteps();
    return new EmulatorResult.GroupCounts(owed, inTime, late);
  }
}
