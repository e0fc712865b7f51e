package org.marigoldmill.cli.explain;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What the logs of all instances say of one request, submission, item or usage window.
 *
 * <p>Beside the lines that name it, it holds what the instances and engines involved went through
 * meanwhile: dependencies lost and regained, changes of configuration and membership, engines that
 * came, left or loaded weights.
 */
public final class RequestStory {
  /** Causes come before their effects; a store that is away is noticed within this time. */
  private static final long BEFORE_MS = 5_000;

  private static final long AFTER_MS = 500;

  private static final Set<String> OF_INSTANCES =
      Set.of(
          "dependency lost",
          "dependency regained",
          "config in force",
          "partitions held",
          "duty lease held",
          "started instance",
          "stopping open",
          "ready=");

  private static final Set<String> OF_ENGINES =
      Set.of("engine listed", "engine gone", "weights ordered", "load wanted", "upstream crashed");

  private static final Comparator<LogLine> IN_ORDER_OF_TIME =
      Comparator.comparingLong(LogLine::timestamp).thenComparing(LogLine::instance);

  private final List<LogLine> told;
  private final List<LogLine> around;

  private RequestStory(List<LogLine> told, List<LogLine> around) {
    this.told = told;
    this.around = around;
  }

  /**
   * Gathers the story of an id.
   *
   * @param id id of a request, submission or item, or {@code window=NUMBER}
   * @param lines lines of all instances, in any order
   * @return the story, which is empty when no line names the id
   */
  public static RequestStory of(String id, List<LogLine> lines) {
    Predicate<LogLine> namesId = LogLine.naming(id);
    List<LogLine> told = lines.stream().filter(namesId).sorted(IN_ORDER_OF_TIME).toList();
    if (told.isEmpty()) {
      return new RequestStory(List.of(), List.of());
    }
    long from = told.get(0).timestamp() - BEFORE_MS;
    long until = told.get(told.size() - 1).timestamp() + AFTER_MS;
    Set<String> instances = told.stream().map(LogLine::instance).collect(Collectors.toSet());
    Predicate<LogLine> namesEngine =
        told.stream()
            .flatMap(l -> l.value("engine").stream())
            .distinct()
            .map(LogLine::naming)
            .reduce(l -> false, Predicate::or);
    Predicate<LogLine> ofInstance = l -> instances.contains(l.instance()) && in(OF_INSTANCES, l);
    Predicate<LogLine> ofEngine = l -> in(OF_ENGINES, l) && namesEngine.test(l);
    List<LogLine> around =
        lines.stream()
            .filter(l -> l.timestamp() >= from && l.timestamp() <= until)
            .filter(ofInstance.or(ofEngine).and(namesId.negate()))
            .sorted(IN_ORDER_OF_TIME)
            .toList();
    return new RequestStory(told, around);
  }

  /** Returns the lines that name the id, in order of time. */
  public List<LogLine> told() {
    return told;
  }

  /** Returns what the instances and engines involved went through, in order of time. */
  public List<LogLine> around() {
    return around;
  }

  /** Returns both in order of time. */
  public List<LogLine> all() {
    return Stream.concat(told.stream(), around.stream()).sorted(IN_ORDER_OF_TIME).toList();
  }

  private static boolean in(Set<String> beginnings, LogLine line) {
    return beginnings.stream().anyMatch(line.message()::startsWith);
  }
}
