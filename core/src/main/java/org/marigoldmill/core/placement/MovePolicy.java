package org.marigoldmill.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which runs go on at another engine, because theirs has become much slower than others.
 *
 * <p>A step ends with its longest item. To go on elsewhere costs reading what has been generated,
 * which takes about as long as generating an event.
 */
public final class MovePolicy {
  /** An engine counts as slow from this many times another's time for an event. */
  private static final double SLOW_RATIO = 1.7;

  /** A run stays for at least this long where it has begun, in milliseconds. */
  private static final long SHORTEST_STAY_MS = 400;

  /**
   * A run in progress.
   *
   * @param item id of the item
   * @param engine engine that generates it
   * @param startedAtMs when it began there
   * @param expectedRemainingEvents events that it may still need
   */
  public record Run(String item, String engine, long startedAtMs, long expectedRemainingEvents) {}

  /**
   * An engine with free places that the runs may go to.
   *
   * @param engine id of the engine
   * @param msPerEvent its time for an event; 0 when unknown
   * @param free free places
   */
  public record Room(String engine, double msPerEvent, int free) {}

  private MovePolicy() {}

  /**
   * Returns the items whose runs should go on elsewhere, longest first.
   *
   * @param runs runs of one model
   * @param speeds time for an event of each engine that has runs
   * @param rooms engines with free places
   * @param now present time
   */
  public static List<String> itemsToMove(
      List<Run> runs, Map<String, Double> speeds, List<Room> rooms, long now) {
    Map<String, Integer> free = new HashMap<>();
    rooms.forEach(r -> free.put(r.engine(), r.free()));
    List<String> due = new ArrayList<>();
    runs.stream()
        .filter(r -> now - r.startedAtMs() >= SHORTEST_STAY_MS)
        .sorted(Comparator.comparingLong(Run::expectedRemainingEvents).reversed())
        .forEach(
            run -> {
              double here = speeds.getOrDefault(run.engine(), 0.0);
              Optional<Room> better =
                  rooms.stream()
                      .filter(r -> !r.engine().equals(run.engine()))
                      .filter(r -> r.msPerEvent() > 0 && free.get(r.engine()) > 0)
                      .filter(r -> here > SLOW_RATIO * r.msPerEvent())
                      .min(Comparator.comparingDouble(Room::msPerEvent));
              better.ifPresent(
                  r -> {
                    free.merge(r.engine(), -1, Integer::sum);
                    due.add(run.item());
                  });
            });
    return due;
  }
}
