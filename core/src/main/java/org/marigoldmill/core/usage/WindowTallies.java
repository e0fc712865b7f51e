package org.marigoldmill.core.usage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What processes told of the usage in each window.
 *
 * <p>Each process numbers its tallies, so one that is told again after a lost answer counts once.
 * Every process tells a tally for every window, also an empty one, so a window is complete when all
 * processes that told the window before have told it.
 */
public final class WindowTallies {
  /** Windows kept; usage is due long before as many have passed. */
  private static final int WINDOWS_KEPT = 64;

  /**
   * Usage that one process counted in one window, or in a part of it.
   *
   * @param process process that counted, different in each of its lives
   * @param number number of the tally, unique within the process
   * @param window number of the window
   * @param requests requests of each organisation
   */
  public record Tally(String process, long number, long window, Map<String, Long> requests) {}

  private record TallyId(String process, long number) {}

  private static final class Window {
    private final Set<TallyId> seen = new HashSet<>();
    private final Set<String> processes = new HashSet<>();
    private final Map<String, Long> requests = new HashMap<>();
  }

  private final TreeMap<Long, Window> windows = new TreeMap<>();

  /** Takes in a tally; returns whether it was new. */
  public synchronized boolean add(Tally tally) {
    Window window = windows.computeIfAbsent(tally.window(), w -> new Window());
    boolean fresh = window.seen.add(new TallyId(tally.process(), tally.number()));
    if (fresh) {
      window.processes.add(tally.process());
      tally.requests().forEach((o, n) -> window.requests.merge(o, n, Long::sum));
    }
    while (windows.size() > WINDOWS_KEPT) {
      windows.pollFirstEntry();
    }
    return fresh;
  }

  /** Returns whether a tally has been taken in. */
  public synchronized boolean contains(Tally tally) {
    Window window = windows.get(tally.window());
    return window != null && window.seen.contains(new TallyId(tally.process(), tally.number()));
  }

  /** Returns the requests of each organisation that were told for a window. */
  public synchronized Map<String, Long> requests(long window) {
    return windows.containsKey(window) ? Map.copyOf(windows.get(window).requests) : Map.of();
  }

  /** Returns whether all processes that told the window before have told this one. */
  public synchronized boolean complete(long window) {
    Window before = windows.get(window - 1);
    Window told = windows.get(window);
    return before != null && told != null && told.processes.containsAll(before.processes);
  }
}
