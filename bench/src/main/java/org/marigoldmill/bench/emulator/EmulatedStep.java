package org.marigoldmill.bench.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** A step of a trainer: its items and the completion times of its groups. */
final class EmulatedStep {
  private final String model;
  private final long submittedAtMs;
  private final long minVersion;
  private final int wantedGroups;
  private final int requiredGroups;
  private final List<EmulatedItem> items = new ArrayList<>();
  private final Map<Integer, Integer> unfinishedByGroup = new HashMap<>();
  private final List<Long> completionTimesMs = new ArrayList<>();
  private boolean ended;

  /**
   * Creates a step without items.
   *
   * @param wantedGroups number of complete groups at which it ends
   * @param requiredGroups number of groups, the first ones, without which it does not end
   */
  EmulatedStep(String model, long askedAt, long minVersion, int wantedGroups, int requiredGroups) {
    this.model = model;
    this.submittedAtMs = askedAt;
    this.minVersion = minVersion;
    this.wantedGroups = wantedGroups;
    this.requiredGroups = requiredGroups;
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
    return completionTimesMs.size() >= wantedGroups
        && unfinishedByGroup.entrySet().stream()
            .allMatch(e -> e.getKey() >= requiredGroups || e.getValue() == 0);
  }

  /** Returns the items of each group that lacks one. */
  List<List<EmulatedItem>> incompleteGroups() {
    return items.stream()
        .filter(i -> unfinishedByGroup.get(i.group()) > 0)
        .collect(Collectors.groupingBy(EmulatedItem::group, TreeMap::new, Collectors.toList()))
        .values()
        .stream()
        .toList();
  }

  boolean ended() {
    return ended;
  }

  void end() {
    ended = true;
  }
}
