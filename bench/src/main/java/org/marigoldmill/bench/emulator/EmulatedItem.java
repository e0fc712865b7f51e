package org.marigoldmill.bench.emulator;

/** One item of a step: how long it is, how far it has come, and where it runs. */
final class EmulatedItem {
  private final EmulatedStep step;
  private final String id;
  private final int group;
  private final int events;
  private final int expectedEvents;
  private double generated;
  private long firstEventAt;
  private long startedAt;
  private String engine = "";

  EmulatedItem(EmulatedStep step, String id, int group, int events, int expectedEvents) {
    this.step = step;
    this.id = id;
    this.group = group;
    this.events = events;
    this.expectedEvents = expectedEvents;
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

  long startedAt() {
    return startedAt;
  }

  boolean running() {
    return !engine.isEmpty();
  }

  boolean done() {
    return generated >= events;
  }

  void start(String at, long now, long prefillMs) {
    engine = at;
    startedAt = now;
    firstEventAt = now + prefillMs;
  }

  /** Ends the run; what has been generated stays. */
  void stop() {
    engine = "";
    generated = Math.floor(generated);
  }

  /** Generates for a time; returns the whole events that came out. */
  int generate(long now, long ms, double eventMs) {
    if (now < firstEventAt) {
      return 0;
    }
    double before = Math.floor(generated);
    generated = Math.min(events, generated + ms / eventMs);
    return (int) (Math.floor(generated) - before);
  }
}
