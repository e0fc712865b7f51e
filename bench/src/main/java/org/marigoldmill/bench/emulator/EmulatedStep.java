package org.marigoldmill.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A step of a trainer: its items and the completion times of its groups. */
final class EmulatedStep {
  private final String model;
  private final long submittedAtMs;
  private final long minVersion;
  private final int wantedGroups;
  private final List<EmulatedItem> items = new ArrayList<>();
  private final Map<Integer, Integer> unfinishedByGroup = new HashMap<>();
  private final List<Long> completionTimesMs = new ArrayList<>();
  private boolean ended;

  EmulatedStep(String model, long askedAt, long minVersion, int wantedGroups) {
    this.model = model;
    this.submittedAtMs = askedAt;
    this.minVersion = minVersion;
    this.wantedGroups = wantedGroups;
  }

  void add(EmulatedItem item) {
    items.add(item);
    unfinishedByGroup.merge(item.group(), 1, Integer::sum);
  }

  void recordFinished(EmulatedItem item, long now) {
    if (unfinishedByGroup.merge(item.group(), -1, Integer::sum) == 0) {
      completionTimesMs.add(now);
    }
  }

  String model() {
    return model;
  }

  long submittedAtMs() {
    return submittedAtMs;
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

  /** Returns the completion times of the complete groups in ms of virtual time, ascending. */
  List<Long> completionTimesMs() {
    return completionTimesMs;
  }

  boolean hasWantedGroups() {
    return completionTimesMs.size() >= wantedGroups;
  }

  boolean ended() {
    return ended;
  }

  void end() {
    ended = true;
  }
}
