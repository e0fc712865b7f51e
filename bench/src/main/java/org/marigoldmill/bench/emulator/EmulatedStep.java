package org.marigoldmill.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One step of a trainer: its items, and when its groups were complete. */
final class EmulatedStep {
  private final String model;
  private final long askedAt;
  private final long minVersion;
  private final int wantedGroups;
  private final List<EmulatedItem> items = new ArrayList<>();
  private final Map<Integer, Integer> missing = new HashMap<>();
  private final List<Long> completedAt = new ArrayList<>();
  private boolean ended;

  EmulatedStep(String model, long askedAt, long minVersion, int wantedGroups) {
    this.model = model;
    this.askedAt = askedAt;
    this.minVersion = minVersion;
    this.wantedGroups = wantedGroups;
  }

  void add(EmulatedItem item) {
    items.add(item);
    missing.merge(item.group(), 1, Integer::sum);
  }

  void finished(EmulatedItem item, long now) {
    if (missing.merge(item.group(), -1, Integer::sum) == 0) {
      completedAt.add(now);
    }
  }

  String model() {
    return model;
  }

  long askedAt() {
    return askedAt;
  }

  long minVersion() {
    return minVersion;
  }

  int wantedGroups() {
    return wantedGroups;
  }

  List<EmulatedItem> items() {
    return items;
  }

  /** Returns when each complete group was complete, in that order. */
  List<Long> completedAt() {
    return completedAt;
  }

  boolean satisfied() {
    return completedAt.size() >= wantedGroups;
  }

  boolean ended() {
    return ended;
  }

  void end() {
    ended = true;
  }
}
