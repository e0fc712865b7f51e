package org.marigoldmill.cli.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** The faults and planned changes of a run, drawn from its seed. */
final class SoakSchedule {
  /** What is done to the deployment. */
  enum Action {
    TERMINATE(true),
    HANG_UP(true),
    CONFIGURE(true),
    LEAVE_ENGINE(true),
    NAME_WEIGHTS(true),
    KILL(false),
    PAUSE(false),
    REFUSE_STORE(false),
    SILENCE_STORE(false),
    SLOW_STORE(false),
    CUT_LINK(false),
    RESET_LINK(false),
    DELAY_LINK(false),
    DROP_LINK_ANSWERS(false),
    SILENCE_LINK(false),
    CUT_UPSTREAM(false),
    RESET_UPSTREAM(false),
    DELAY_UPSTREAM(false),
    SILENCE_UPSTREAM(false);

    private final boolean planned;

    Action(boolean planned) {
      this.planned = planned;
    }
  }

  /** Which part of a run has faults. */
  enum Scope {
    PLANNED_WORK,
    /** Planned work alone in the first half of the run, with faults in the second. */
    FAULTS
  }

  /**
   * One action.
   *
   * @param target index of the first instance or engine
   * @param count number of instances or of versions
   * @param lengthMs how long a fault lasts, or the time between the parts of a series
   */
  record Step(long atMs, Action action, int target, int count, long lengthMs) {}

  private static final int MIN_GAP_MS = 200;
  private static final int MAX_GAP_MS = 1_400;
  private static final int SERIES_GAP_MS = 150;
  private static final int MAX_SERIES = 4;

  /** Some seeds draw fewer steps, so that most instances stay in rotation. */
  private static final int MAX_SPREAD = 4;

  private static final int MIN_FAULT_MS = 300;
  private static final int MAX_FAULT_MS = 4_000;
  private static final int MAX_SPACING_MS = 900;

  /** Times that SIGTERM stands among the planned actions for each time that another does. */
  private static final int SIGTERM_WEIGHT = 3;

  private final Random random;
  private final int instances;
  private final int spread;
  private final List<Step> steps = new ArrayList<>();

  private SoakSchedule(long seed, int instances) {
    this.random = new Random(seed);
    this.instances = instances;
    this.spread = 1 + random.nextInt(MAX_SPREAD);
  }

  /** Draws the steps of a run, in order of time. */
  static List<Step> draw(long seed, int instances, long lengthMs, Scope scope) {
    SoakSchedule schedule = new SoakSchedule(seed, instances);
    long faultsFromMs = scope == Scope.PLANNED_WORK ? lengthMs : lengthMs / 2;
    schedule.draw(0, faultsFromMs, planned());
    schedule.draw(faultsFromMs, lengthMs, withFaults());
    return schedule.steps.stream().sorted(Comparator.comparingLong(Step::atMs)).toList();
  }

  private static List<Action> planned() {
    List<Action> actions =
        new ArrayList<>(Arrays.stream(Action.values()).filter(a -> a.planned).toList());
    for (int i = 1; i < SIGTERM_WEIGHT; i++) {
      actions.add(Action.TERMINATE);
    }
    return actions;
  }

  private static List<Action> withFaults() {
    List<Action> actions = planned();
    Arrays.stream(Action.values()).filter(a -> !a.planned).forEach(actions::add);
    return actions;
  }

  private void draw(long fromMs, long toMs, List<Action> actions) {
    long atMs = fromMs;
    while (atMs < toMs) {
      int series = random.nextInt(3) == 0 ? 1 + random.nextInt(MAX_SERIES) : 1;
      for (int i = 0; i < series; i++) {
        steps.add(step(atMs, actions.get(random.nextInt(actions.size()))));
        atMs += random.nextInt(SERIES_GAP_MS);
      }
      atMs += (long) spread * (MIN_GAP_MS + random.nextInt(MAX_GAP_MS - MIN_GAP_MS));
    }
  }

  private Step step(long atMs, Action action) {
    int target = random.nextInt(Integer.MAX_VALUE);
    int count = 1 + random.nextInt(Math.max(1, instances / 2));
    long lengthMs =
        action.planned
            ? random.nextInt(2) * (long) random.nextInt(MAX_SPACING_MS)
            : MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
    return new Step(atMs, action, target, count, lengthMs);
  }
}
