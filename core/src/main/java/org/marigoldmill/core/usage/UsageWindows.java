package org.marigoldmill.core.usage;

import static java.util.stream.Collectors.toMap;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.marigoldmill.schema.log.ScopeCounters;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.log.UsageCounter;
import org.marigoldmill.schema.log.WindowFigures;
import org.marigoldmill.schema.log.WindowSeal;

/**
 * Seals usage windows in the state computed from the log.
 *
 * <p>A seal contains the cumulative counters of every process at the end of a window. The usage of
 * the window is the difference from the previous seal, so usage that was not known in time is
 * included in a later window and is never counted twice.
 */
public final class UsageWindows {
  /** Age above which a counter counts as outdated when its window is sealed, in milliseconds. */
  public static final long MAX_FRESH_COUNTER_AGE_MS = 2_000;

  private static final int MAX_REPORTED_WINDOWS = 32;

  private UsageWindows() {}

  /** Seals a window, unless it is not later than the last sealed window of its scope. */
  public static void seal(Snapshot.Builder next, long offset, WindowSeal seal) {
    if (lastSealedWindow(next.getSealedList(), seal.getScope()) >= seal.getWindow()) {
      return;
    }
    ScopeCounters previousSeal = sealedCounters(next, seal.getScope());
    TreeMap<String, Usage> total = new TreeMap<>();
    TreeMap<String, Usage> late = new TreeMap<>();
    TreeMap<String, UsageCounter> merged = new TreeMap<>(bySource(previousSeal.getCountersList()));
    for (UsageCounter counter : seal.getCountersList()) {
      Optional<UsageCounter> previous = Optional.ofNullable(merged.get(counter.getSource()));
      List<Usage> increase = increaseByOrganisation(counter.getUsageList(), usageOf(previous));
      increase.forEach(u -> total.merge(u.getOrganisation(), u, UsageWindows::sum));
      if (previous.filter(c -> c.getAgeMs() > MAX_FRESH_COUNTER_AGE_MS).isPresent()) {
        increase.forEach(u -> late.merge(u.getOrganisation(), u, UsageWindows::sum));
      }
      merged.put(counter.getSource(), withoutDecrease(counter, usageOf(previous)));
    }
    next.addWindows(
        WindowFigures.newBuilder()
            .setScope(seal.getScope())
            .setWindow(seal.getWindow())
            .setSealOffset(offset)
            .addAllUsage(total.values())
            .addAllLate(late.values()));
    replaceCounters(next, seal, merged);
  }

  /**
   * Marks a window as accepted by billing, and drops the oldest reported windows beyond the limit.
   */
  public static void markReported(Snapshot.Builder next, String scope, long window) {
    List<WindowFigures> windows = new ArrayList<>();
    for (WindowFigures figures : next.getWindowsList()) {
      boolean same = figures.getScope().equals(scope) && figures.getWindow() == window;
      windows.add(same ? figures.toBuilder().setReported(true).build() : figures);
    }
    next.clearWindows().addAllWindows(dropOldestReported(windows));
  }

  /** Returns the number of the last sealed window of a scope, or -1 if there is none. */
  public static long lastSealedWindow(List<ScopeCounters> sealed, String scope) {
    return sealed.stream()
        .filter(s -> s.getScope().equals(scope))
        .mapToLong(ScopeCounters::getLastWindow)
        .findFirst()
        .orElse(-1);
  }

  /** Returns the increase of each organisation's usage; organisations without one are left out. */
  public static List<Usage> increaseByOrganisation(List<Usage> current, List<Usage> previous) {
    Map<String, Usage> previousByOrganisation =
        previous.stream().collect(toMap(Usage::getOrganisation, u -> u));
    return current.stream()
        .map(
            u ->
                minus(
                    u,
                    previousByOrganisation.getOrDefault(
                        u.getOrganisation(), Usage.getDefaultInstance())))
        .filter(u -> u.getRequests() > 0 || u.getTokens() > 0)
        .toList();
  }

  /** Returns the larger of both counts of requests and of tokens for each organisation. */
  public static List<Usage> maxByOrganisation(List<Usage> a, List<Usage> b) {
    TreeMap<String, Usage> merged = new TreeMap<>();
    a.forEach(u -> merged.put(u.getOrganisation(), u));
    b.forEach(u -> merged.merge(u.getOrganisation(), u, UsageWindows::max));
    return List.copyOf(merged.values());
  }

  private static UsageCounter withoutDecrease(UsageCounter counter, List<Usage> previous) {
    return counter.toBuilder()
        .clearUsage()
        .addAllUsage(maxByOrganisation(counter.getUsageList(), previous))
        .build();
  }

  private static List<Usage> usageOf(Optional<UsageCounter> counter) {
    return counter.map(UsageCounter::getUsageList).orElse(List.of());
  }

  private static Usage minus(Usage current, Usage previous) {
    return current.toBuilder()
        .setRequests(Math.max(0, current.getRequests() - previous.getRequests()))
        .setTokens(Math.max(0, current.getTokens() - previous.getTokens()))
        .build();
  }

  private static Usage sum(Usage a, Usage b) {
    return a.toBuilder()
        .setRequests(a.getRequests() + b.getRequests())
        .setTokens(a.getTokens() + b.getTokens())
        .build();
  }

  private static Usage max(Usage a, Usage b) {
    return a.toBuilder()
        .setRequests(Math.max(a.getRequests(), b.getRequests()))
        .setTokens(Math.max(a.getTokens(), b.getTokens()))
        .build();
  }

  private static Map<String, UsageCounter> bySource(List<UsageCounter> counters) {
    return counters.stream().collect(toMap(UsageCounter::getSource, c -> c));
  }

  private static ScopeCounters sealedCounters(Snapshot.Builder state, String scope) {
    return state.getSealedList().stream()
        .filter(s -> s.getScope().equals(scope))
        .findFirst()
        .orElse(ScopeCounters.getDefaultInstance());
  }

  private static void replaceCounters(
      Snapshot.Builder next, WindowSeal seal, Map<String, UsageCounter> counters) {
    String scope = seal.getScope();
    List<ScopeCounters> others =
        next.getSealedList().stream().filter(s -> !s.getScope().equals(scope)).toList();
    ScopeCounters replaced =
        ScopeCounters.newBuilder()
            .setScope(scope)
            .addAllCounters(counters.values())
            .setLastWindow(seal.getWindow())
            .build();
    next.clearSealed().addAllSealed(others).addSealed(replaced);
  }

  private static List<WindowFigures> dropOldestReported(List<WindowFigures> windows) {
    long reported = windows.stream().filter(WindowFigures::getReported).count();
    long surplus = Math.max(0, reported - MAX_REPORTED_WINDOWS);
    List<WindowFigures> dropped =
        windows.stream().filter(WindowFigures::getReported).limit(surplus).toList();
    return windows.stream().filter(w -> !dropped.contains(w)).toList();
  }
}
