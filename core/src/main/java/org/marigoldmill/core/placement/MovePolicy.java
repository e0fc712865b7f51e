package org.marigoldmill.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which runs move to another engine because theirs is much slower.
 *
 * <p>Answers the load of engines whose speeds differ and change many times a second: nearly every
 * run then sees a faster engine at some moment. A step ends with its longest item, so the longest
 * runs move first, and a run moves only if that ends it noticeably sooner. Moving costs the new
 * engine a prefill of the text generated so far, about the time of generating one event.
 */
public final class MovePolicy {
  /** Minimum ratio of the times for an event of the current and the new engine. */
  private static final double MIN_SPEEDUP = 1.7;

  /** Minimum time by which a move ends a run sooner, in milliseconds. */
  private static final double MIN_GAIN_MS = 500;

  /** Minimum time that a run stays at an engine before it may move, in milliseconds. */
  private static final long MIN_STAY_MS = 400;

  /**
   * A run in progress.
   *
   * @param item id of the item
   * @param engine id of the engine that runs it
   * @param startedAtMs time at which it started there, in milliseconds
   * @param expectedRemainingEvents estimated number of events that it has still to generate
   */
  public record Run(String item, String engine, long startedAtMs, long expectedRemainingEvents) {}

  /**
   * An engine with free slots that runs may move to.
   *
   * @param engine id of the engine
   * @param msPerEvent its time for an event, in milliseconds; 0 if unknown
   * @param free number of free slots
   */
  public record Room(String engine, double msPerEvent, int free) {}

  private MovePolicy() {}

  /**
   * Returns the ids of the items whose runs should move, longest run first.
   *
   * @param runs runs of one model
   * @param speeds time for an event of each engine that has runs, in milliseconds
   * @param rooms engines with free slots
   * @param nowMs current time, in milliseconds
   */
  public static List<String> itemsToMove(
      List<Run> runs, Map<String, Double> speeds, List<Room> rooms, long nowMs) {
    Map<String, Integer> free = new HashMap<>();
    rooms.forEach(r -> free.put(r.engine(), r.free()));
    List<String> items = new ArrayList<>();
    runs.stream()
        .filter(r -> nowMs - r.startedAtMs() >= MIN_STAY_MS)
        .sorted(Comparator.comparingLong(Run::expectedRemainingEvents).reversed())
        .forEach(
            run -> {
              double currentMsPerEvent = speeds.getOrDefault(run.engine(), 0.0);
              Optional<Room> fastest =
                  rooms.stream()
                      .filter(r -> !r.engine().equals(run.engine()))
                      .filter(r -> r.msPerEvent() > 0 && free.get(r.engine()) > 0)
                      .filter(r -> currentMsPerEvent > MIN_SPEEDUP * r.msPerEvent())
                      .filter(r -> gainMs(run, currentMsPerEvent, r) >= MIN_GAIN_MS)
                      .min(Comparator.comparingDouble(Room::msPerEvent));
              fastest.ifPresent(
                  r -> {
                    free.merge(r.engine(), -1, Integer::sum);
                    items.add(run.item());
                  });
            });
    return items;
  }

  /** Returns by how much sooner a run would end at another engine, in milliseconds. */
  private static double gainMs(Run run, double currentMsPerEvent, Room room) {
    double moveMs = room.msPerEvent();
    return run.expectedRemainingEvents() * (currentMsPerEvent - room.msPerEvent()) - moveMs;
  }
}
