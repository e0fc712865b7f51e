package org.marigoldmill.bench.emulator;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import org.marigoldmill.core.submission.CheckpointPolicy;
import org.marigoldmill.core.submission.TextSnapshot;

/** An item of a step: its length, its progress, and the engine that runs it. */
final class EmulatedItem {
  private final EmulatedStep step;
  private final String id;
  private final int group;
  private final int events;
  private final int expectedEvents;
  private double generatedEvents;
  private double eventsBeforeRun;
  private long firstEventAtMs;
  private long startedAtMs;
  private String engine = "";
  private Set<Long> versions = new TreeSet<>();
  private long storedEvents;
  private Set<Long> storedVersions = Set.of();

  EmulatedItem(EmulatedStep step, String id, int group, int events, int expectedEvents) {
    this.step = step;
    this.id = id;
    this.group = group;
    this.events = events;
    this.expectedEvents = expectedEvents;
  }

  /** Returns the same item as a part of a later step, with its unfinished text if that fits. */
  EmulatedItem again(EmulatedStep laterStep, int laterGroup) {
    EmulatedItem again = new EmulatedItem(laterStep, id, laterGroup, events, expectedEvents);
    if (TextSnapshot.fits(List.copyOf(versions), laterStep.minVersion(), false)) {
      again.generatedEvents = wholeEvents();
      again.versions = new TreeSet<>(versions);
    }
    return again;
  }

  /** Stores the text so far if that is due. */
  void storeIfDue() {
    if (CheckpointPolicy.due(wholeEvents(), storedEvents)) {
      storedEvents = wholeEvents();
      storedVersions = Set.copyOf(versions);
    }
  }

  EmulatedStep step() {
    return step;
  }

  String id() {
    return id;
  }

  int group() {
    return group;
  }

  int expectedEvents() {
    return expectedEvents;
  }

  String engine() {
    return engine;
  }

  long startedAtMs() {
    return startedAtMs;
  }

  boolean running() {
    return !engine.isEmpty();
  }

  boolean done() {
    return generatedEvents >= events;
  }

  /** Returns the number of events that have been generated whole. */
  long wholeEvents() {
    return (long) Math.floor(generatedEvents);
  }

  void start(String at, long now, long prefillMs) {
    engine = at;
    startedAtMs = now;
    firstEventAtMs = now + prefillMs;
    eventsBeforeRun = generatedEvents;
  }

  /**
   * Returns the time of an event in the run that ends now, in ms.
   *
   * @param minEvents number of events below which the run tells no time
   */
  OptionalDouble generationMs(long now, int minEvents) {
    double runEvents = generatedEvents - eventsBeforeRun;
    return runEvents < minEvents
        ? OptionalDouble.empty()
        : OptionalDouble.of((now - firstEventAtMs) / runEvents);
  }

  /** Loses the events that are not stored. */
  void loseOwner() {
    generatedEvents = storedEvents;
    versions = new TreeSet<>(storedVersions);
  }

  /** Ends the run; whole events that have been generated are kept. */
  void stop() {
    engine = "";
    generatedEvents = Math.floor(generatedEvents);
  }

  /**
   * Generates for a time; returns the number of events completed in it.
   *
   * @param ms the time, in milliseconds
   * @param version version of the engine's weights
   */
  int generate(long now, long ms, double eventMs, long version) {
    if (now < firstEventAtMs) {
      return 0;
    }
    double before = Math.floor(generatedEvents);
    generatedEvents = Math.min(events, generatedEvents + ms / eventMs);
    int completed = (int) (Math.floor(generatedEvents) - before);
    if (completed > 0) {
      versions.add(version);
    }
    return completed;
  }
}
