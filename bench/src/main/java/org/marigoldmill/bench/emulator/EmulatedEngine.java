package org.marigoldmill.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marigoldmill.schema.settings.EmulatorScenario;

/** An engine: its running items, its weight versions, and the weight load in progress. */
final class EmulatedEngine {
  private static final long FIRST_VERSION = 1;

  private final String id;
  private final EmulatorScenario scenario;
  private final List<EmulatedItem> running = new ArrayList<>();
  private final Map<String, Long> versions = new HashMap<>();
  private long remainingLoadMs;
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
    return remainingLoadMs > 0;
  }

  long version(String model) {
    return versions.getOrDefault(model, FIRST_VERSION);
  }

  void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  boolean canStart(EmulatedItem item) {
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
    remainingLoadMs = Math.max(1, scenario.getLoadMs());
  }

  /** Advances the load in progress by the given time; the new version is in use once it ends. */
  void advanceLoad(double ms) {
    remainingLoadMs -= Math.round(ms);
    if (remainingLoadMs <= 0) {
      versions.merge(loadingModel, loadingVersion, Math::max);
    }
  }

  /** Returns the time of one event in ms with the number of items that run now. */
  double eventMs() {
    double alone = scenario.getEventMs();
    double shared = alone + scenario.getEventMsPerRun() * Math.max(0, running.size() - 1);
    return shared * slowFactor;
  }
}
