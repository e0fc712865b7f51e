package org.marigoldmill.cli.promises;

import static org.marigoldmill.cli.process.ExampleDeclaration.FELDPLAN_KEY;
import static org.marigoldmill.cli.process.ExampleDeclaration.TUUL_KEY;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.marigoldmill.cli.process.ProcessCluster;
import org.marigoldmill.schema.operator.ShownConfig;
import org.marigoldmill.schema.operator.ShownLeases;
import org.marigoldmill.schema.standin.Run;

/** State shared by the step classes of one scenario. */
public final class World {
  static final List<String> PLAIN_UPSTREAMS = List.of("records-a1", "records-b1");
  static final List<String> ENGINES = List.of("engine-a1", "engine-a2", "engine-b1");
  static final List<String> ENTRIES = List.of("a1", "a2", "b1");

  private static final Map<String, String> KEYS =
      Map.of("tuul", TUUL_KEY, "feldplan", FELDPLAN_KEY, "nobody", "key-of-nobody", "", "");

  /** The result of a call; status 0 stands for a call without an answer. */
  record CallResult(String body, int status, String text, String run) {
    boolean answered() {
      return status == 200;
    }
  }

  private ProcessCluster cluster;
  private final List<CallResult> calls = Collections.synchronizedList(new ArrayList<>());
  private String frozenHolder = "";

  ProcessCluster cluster() {
    return cluster;
  }

  void cluster(ProcessCluster started) {
    cluster = started;
  }

  List<CallResult> calls() {
    return calls;
  }

  String frozenHolder() {
    return frozenHolder;
  }

  void frozenHolder(String name) {
    frozenHolder = name;
  }

  static String key(String organisation) {
    return KEYS.get(organisation);
  }

  /** Returns an entry instance that is running. */
  String anyEntry() {
    return ENTRIES.stream()
        .filter(e -> !e.equals(frozenHolder))
        .filter(e -> cluster.process(e).isAlive())
        .findFirst()
        .orElseThrow();
  }

  long revision(String entry) {
    return cluster.shown(entry, "config", ShownConfig.getDefaultInstance()).getRevision();
  }

  /** Returns the holder of a lease as a running instance shows it, or an empty string. */
  String holder(String scope) {
    return cluster
        .shown(anyEntry(), "leases", ShownLeases.getDefaultInstance())
        .getLeasesList()
        .stream()
        .filter(l -> l.getScope().equals(scope) && !l.getReleased())
        .map(l -> l.getHolder().substring(0, l.getHolder().indexOf('#')))
        .findFirst()
        .orElse("");
  }

  /** Returns the requests that the running plain upstreams have run. */
  Stream<Run> plainRuns() {
    return PLAIN_UPSTREAMS.stream()
        .filter(n -> cluster.process(n).isAlive())
        .flatMap(n -> cluster.runs(n).getRunsList().stream());
  }
}
