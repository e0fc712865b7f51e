package org.marigoldmill.core.usage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Usage that processes have reported for each window.
 *
 * <p>Each process numbers its tallies, so a tally that is sent again after a lost reply is counted
 * once. Every process reports a tally for every window, even if it is empty. Therefore a window is
 * complete when all processes that reported the previous window have reported it.
 */
public final class WindowTallies {
  /** Maximum number of windows kept; usage is reported long before so many have passed. */
  private static final int MAX_WINDOWS = 64;

  /**
   * Usage that one process counted in a window or in a part of it.
   *
   * @param process identifier of this incarnation of the reporting process
   * @param number number of the tally, unique within the process
   * @param window number of the window
   * @param requests number of requests by organisation
   */
  public record Tally(String process, long number, long window, Map<String, Long> requests) {}

  private record TallyId(String process, long number) {}

  private static final class Window {
    private final Set<TallyId> tallies = new HashSet<>();
    private final Set<String> processes = new HashSet<>();
    private final Map<String, Long> requests = new HashMap<>();
  }

  private final TreeMap<Long, Window> windows = new TreeMap<>();

  /** Adds a tally unless it is already contained; returns whether it was added. */
  public synchronized boolean add(Tally tally) {
    Window window = windows.computeIfAbsent(tally.window(), w -> new Window());
    boolean added = window.tallies.add(new TallyId(tally.process(), tally.number()));
    if (added) {
      window.processes.add(tally.process());
      tally.requests().forEach((o, n) -> window.requests.merge(o, n, Long::sum));
    }
    while (windows.size() > MAX_WINDOWS) {
      windows.pollFirstEntry();
    }
    return added;
  }

  /** Returns whether a tally has been added to a window that is still kept. */
  public synchronized boolean contains(Tally tally) {
    Window window = windows.get(tally.window());
    return window != null && window.tallies.contains(new TallyId(tally.process(), tally.number()));
  }

  /** Returns the number of requests reported for a window, by organisation. */
  public synchronized Map<String, Long> requests(long window) {
    return windows.containsKey(window) ? Map.copyOf(windows.get(window).requests) : Map.of();
  }

  /** Returns whether all processes that reported the previous window have reported this one. */
  public synchronized boolean complete(long window) {
    Window previous = windows.get(window - 1);
    Window current = windows.get(window);
    return previous != null && current != null && current.processes.containsAll(previous.processes);
  }
}
