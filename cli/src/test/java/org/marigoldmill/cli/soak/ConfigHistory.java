package org.marigoldmill.cli.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import org.marigoldmill.cli.deployment.DeploymentCluster;
import org.marigoldmill.cli.deployment.StoreStandin;
import org.marigoldmill.cli.soak.SoakLog.Promise;

/** The configuration versions that the operator has sent, and what instances made of them. */
final class ConfigHistory {
  /** Prefix of mutating calls, present in every version. */
  static final String MUTATING_PREFIX = "/act/";

  /** Time from the ack of a version until it must be in force ({@code config_apply_ms}). */
  private static final long APPLY_MS = 2_000;

  /** Time after an effect of a version within which older ones may show. */
  private static final long ROLLBACK_SLACK_MS = 250;

  private static final int DISTURBED_SLACK_FACTOR = 8;
  private static final int MAX_PRESENT = 6;
  private static final int RECENT = 8;
  private static final int MAX_VERSION_STEP = 3;

  /** A route or an API key that is added once and removed once. */
  record Subject(boolean isKey, String name) implements Comparable<Subject> {
    @Override
    public int compareTo(Subject other) {
      return name.compareTo(other.name);
    }
  }

  private record Version(long number, long sentMs, long ackMs, Set<Subject> present) {}

  /** An observation that proves that an instance had reached a version. */
  private record Effect(int version, long atMs) {}

  private final StoreStandin store;
  private final Disturbances disturbances;
  private final SoakLog log;
  private final Random random;
  private final List<Version> versions = new ArrayList<>();
  private final List<Subject> subjects = new ArrayList<>();
  private final Map<String, List<Effect>> effects = new ConcurrentHashMap<>();

  ConfigHistory(StoreStandin store, Disturbances disturbances, SoakLog log, Random random) {
    this.store = store;
    this.disturbances = disturbances;
    this.log = log;
    this.random = random;
    publish(1, new TreeSet<>());
  }

  /** Sends a version that adds or removes a route or a key. */
  synchronized void publishNext() {
    Version last = versions.get(versions.size() - 1);
    TreeSet<Subject> present = new TreeSet<>(last.present());
    if (present.size() >= MAX_PRESENT || (!present.isEmpty() && random.nextInt(3) == 0)) {
      present.remove(new ArrayList<>(present).get(random.nextInt(present.size())));
    } else {
      Subject added = new Subject(random.nextBoolean(), "x" + subjects.size());
      subjects.add(added);
      present.add(added);
    }
    publish(last.number() + 1 + random.nextInt(MAX_VERSION_STEP), present);
  }

  /** Returns a route or key that was added lately, whether it is still there or not. */
  synchronized Optional<Subject> recentSubject(Random choice) {
    int oldest = Math.max(0, subjects.size() - RECENT);
    return subjects.isEmpty()
        ? Optional.empty()
        : Optional.of(subjects.get(oldest + choice.nextInt(subjects.size() - oldest)));
  }

  /** Checks whether an instance may have served or refused a request for a route or key. */
  synchronized void check(
      SoakInstance instance, int life, Subject subject, boolean served, long sentMs, long endMs) {
    List<Integer> explaining =
        IntStream.range(0, versions.size())
            .filter(v -> versions.get(v).sentMs() <= endMs)
            .filter(v -> versions.get(v).present().contains(subject) == served)
            .boxed()
            .toList();
    int newest = explaining.isEmpty() ? -1 : explaining.get(explaining.size() - 1);
    boolean inTouch = disturbances.inTouch(instance.name(), sentMs, endMs);
    int due = (int) versions.stream().filter(v -> v.ackMs() + APPLY_MS < sentMs).count() - 1;
    long slackMs = ROLLBACK_SLACK_MS * (inTouch ? 1 : DISTURBED_SLACK_FACTOR);
    List<Effect> seen =
        effects.computeIfAbsent(instance.name() + "#" + life, k -> new ArrayList<>());
    int proven =
        seen.stream()
            .filter(e -> e.atMs() + slackMs < sentMs)
            .mapToInt(Effect::version)
            .max()
            .orElse(-1);
    if ((inTouch && newest < due) || newest < proven) {
      log.violation(
          Promise.CONFIG,
          "%s life=%d %s served=%s sent_ms=%d ended_ms=%d as of version %s, but due=%s shown=%s",
          instance.name(),
          life,
          subject,
          served,
          sentMs,
          endMs,
          describe(newest),
          describe(due),
          describe(proven));
    } else if (!explaining.isEmpty()) {
      seen.add(new Effect(explaining.get(0), endMs));
    }
  }

  private String describe(int index) {
    if (index < 0) {
      return "none";
    }
    Version version = versions.get(index);
    return version.number() + " (acked " + version.ackMs() + ")";
  }

  private void publish(long number, Set<Subject> present) {
    ObjectNode config = DeploymentCluster.config(number);
    ArrayNode routes = (ArrayNode) config.get("routes");
    ArrayNode keys = (ArrayNode) config.get("tenants").get(0).get("api_keys");
    DeploymentCluster.route(routes, MUTATING_PREFIX, "mutating", "app").put("max_attempts", 2);
    for (Subject subject : present) {
      if (subject.isKey()) {
        keys.add(subject.name());
      } else {
        DeploymentCluster.route(routes, "/" + subject.name() + "/", "idempotent", "app");
      }
    }
    final long sentMs = log.now();
    store.put("op", "config", config);
    versions.add(new Version(number, sentMs, log.now(), present));
    log.event("config version=%d present=%s", number, present);
  }
}
