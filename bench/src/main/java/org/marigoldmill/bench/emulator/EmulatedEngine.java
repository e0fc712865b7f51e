package org.marigoldmill.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marigoldmill.schema.settings.EmulatorScenario;

/** One engine: the items that it runs, the weights that it has, and the load in progress. */
final class EmulatedEngine {
  private static final long FIRST_VERSION = 1;

  private final String id;
  private final EmulatorScenario scenario;
  private final List<EmulatedItem> running = new ArrayList<>();
  private final Map<String, Long> versions = new HashMap<>();
  private long loadLeftMs;
  private String loadingModel = "";
  private long loadingVersion;
  private double slowFactor = 1;

  EmulatedEngine(String id, EmulatorScenario scenario) {
    this.id = id;
    this.scenario = scenario;
  }

  String id() {
    return id;
  }

  List<EmulatedItem> running() {
    return running;
  }

  boolean loading() {
    return loadLeftMs > 0;
  }

  long version(String model) {
    return versions.getOrDefault(model, FIRST_VERSION);
  }

  void slow(double factor) {
    slowFactor = factor;
  }

  boolean takes(EmulatedItem item) {
    return !loading()
        && running.size() < scenario.getSlots()
        && version(item.step().model()) >= item.step().minVersion();
  }

  void start(EmulatedItem item, long now) {
    item.start(id, now, Math.round(scenario.getPrefillMs() * slowFactor));
    running.add(item);
  }

  void stop(EmulatedItem item) {
    running.remove(item);
    item.stop();
  }

  void load(String model, long version) {
    loadingModel = model;
    loadingVersion = version;
    loadLeftMs = Math.max(1, scenario.getLoadMs());
  }

  /** Carries a load on for a time; at its end the engine has the new weights. */
  void carryLoadOn(double ms) {
    loadLeftMs -= Math.round(ms);
    if (loadLeftMs <= 0) {
      versions.merge(loadingModel, loadingVersion, Math::max);
    }
  }

  /** Returns the time of an event under what runs now. */
  double eventMs() {
    double alone = scenario.getEventMs();
    double shared = alone + scenario.getEventMsPerRun() * Math.max(0, running.size() - 1);
    return shared * slowFactor;
  }
}
