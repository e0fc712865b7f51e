package org.marigoldmill.bench.emulator;

import java.util.OptionalDouble;

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

  EmulatedItem(EmulatedStep step, String id, int group, int events, int expectedEvents) {
    this.step = step;
    this.id = id;
    this.group = group;
    this.events = events;
    this.expectedEvents = expectedEvents;
  }

  /** Returns the same item as a part of a later step. */
  EmulatedItem again(EmulatedStep laterStep, int laterGroup) {
    return new EmulatedItem(laterStep, id, laterGroup, events, expectedEvents);
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

  /** Discards the events that have been generated. */
  void restart() {
    generatedEvents = 0;
  }

  /** Ends the run; whole events that have been generated are kept. */
  void stop() {
    engine = "";
    generatedEvents = Math.floor(generatedEvents);
  }

  /** Generates for the given time in ms; returns the number of events completed in it. */
  int generate(long now, long ms, double eventMs) {
    if (now < firstEventAtMs) {
      return 0;
    }
    double before = Math.floor(generatedEvents);
    generatedEvents = Math.min(events, generatedEvents + ms / eventMs);
    return (int) (Math.floor(generatedEvents) - before);
  }
}
