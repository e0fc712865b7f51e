package org.marigoldmill.cli.explain;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Log lines of all instances that concern one request, submission, item or usage window.
 *
 * <p>Beside the lines that mention its id, the timeline holds context: events of the involved
 * instances and engines in the same period, namely dependencies lost and regained, changes of
 * configuration and membership, and engines that were listed, were removed or loaded weights.
 */
public final class RequestTimeline {
  /** Context starts before the first line, since an unreachable store is noticed within 5 s. */
  private static final long CONTEXT_BEFORE_MS = 5_000;

  private static final long CONTEXT_AFTER_MS = 500;

  private static final Set<String> INSTANCE_EVENTS =
      Set.of(
          "dependency lost",
          "dependency regained",
          "config in force",
          "partitions held",
          "duty lease held",
          "started instance",
          "stopping open",
          "shutdown phase",
          "ready=");

  private static final Set<String> ENGINE_EVENTS =
      Set.of("engine listed", "engine gone", "weights ordered", "load wanted", "upstream crashed");

  private static final Comparator<LogLine> BY_TIME_THEN_INSTANCE =
      Comparator.comparingLong(LogLine::timestampMs).thenComparing(LogLine::instance);

  private final List<LogLine> matchingLines;
  private final List<LogLine> contextLines;

  private RequestTimeline(List<LogLine> matchingLines, List<LogLine> contextLines) {
    this.matchingLines = matchingLines;
    this.contextLines = contextLines;
  }

  /**
   * Selects the lines that concern an id.
   *
   * @param id id of a request, submission or item, or {@code window=NUMBER}
   * @param lines log lines of all instances, in any order
   * @return the timeline, which is empty if no line mentions the id
   */
  public static RequestTimeline of(String id, List<LogLine> lines) {
    Predicate<LogLine> mentionsId = LogLine.mentioning(id);
    List<LogLine> matching =
        lines.stream().filter(mentionsId).sorted(BY_TIME_THEN_INSTANCE).toList();
    if (matching.isEmpty()) {
      return new RequestTimeline(List.of(), List.of());
    }
    long fromMs = matching.get(0).timestampMs() - CONTEXT_BEFORE_MS;
    long untilMs = matching.get(matching.size() - 1).timestampMs() + CONTEXT_AFTER_MS;
    Set<String> instances = matching.stream().map(LogLine::instance).collect(Collectors.toSet());
    Predicate<LogLine> mentionsEngine =
        matching.stream()
            .flatMap(l -> l.value("engine").stream())
            .distinct()
            .map(LogLine::mentioning)
            .reduce(l -> false, Predicate::or);
    Predicate<LogLine> isInstanceEvent =
        l -> instances.contains(l.instance()) && startsWithAny(INSTANCE_EVENTS, l);
    Predicate<LogLine> isEngineEvent =
        l -> startsWithAny(ENGINE_EVENTS, l) && mentionsEngine.test(l);
    List<LogLine> context =
        lines.stream()
            .filter(l -> l.timestampMs() >= fromMs && l.timestampMs() <= untilMs)
            .filter(isInstanceEvent.or(isEngineEvent).and(mentionsId.negate()))
            .sorted(BY_TIME_THEN_INSTANCE)
            .toList();
    return new RequestTimeline(matching, context);
  }

  /** Returns the lines that mention the id, ordered by time. */
  public List<LogLine> matchingLines() {
    return matchingLines;
  }

  /** Returns the events of involved instances and engines, ordered by time. */
  public List<LogLine> contextLines() {
    return contextLines;
  }

  /** Returns matching and context lines together, ordered by time. */
  public List<LogLine> allLines() {
    return Stream.concat(matchingLines.stream(), contextLines.stream())
        .sorted(BY_TIME_THEN_INSTANCE)
        .toList();
  }

  private static boolean startsWithAny(Set<String> prefixes, LogLine line) {
    return prefixes.stream().anyMatch(line.message()::startsWith);
  }
}
