package org.marigoldmill.cli.process;

import static org.marigoldmill.declare.Declare.job;
import static org.marigoldmill.declare.Declare.organisation;
import static org.marigoldmill.declare.Declare.pool;
import static org.marigoldmill.declare.Declare.service;

import org.marigoldmill.declare.Declare;

/** The declaration that each process test publishes first. */
public final class ExampleDeclaration {
  public static final String TUUL_KEY = "key-of-tuul-inspectors";
  public static final String FELDPLAN_KEY = "key-of-feldplan-planners";
  public static final int GROUPS = 6;
  public static final int GROUP_SIZE = 4;
  public static final int STALENESS_BOUND = 1;

  private static final long STALE_KNOWLEDGE_MS = 3_000;

  private ExampleDeclaration() {}

  /** Returns a declaration whose pools need no orders, as their minimum size is 0. */
  public static Declare declaration(long against, String weightStore) {
    return Declare.against(against)
        .usageWindowMs(1_000)
        .with(organisation("tuul").keyInClear("inspectors", TUUL_KEY))
        .with(organisation("feldplan").keyInClear("planners", FELDPLAN_KEY))
        .with(pool("lm").zone("a").size(0, 4).checksFencing())
        .with(pool("lm").zone("b").size(0, 4).checksFencing())
        .with(pool("records").zone("a").size(0, 4))
        .with(pool("records").zone("b").size(0, 4))
        .with(pool("scoring").zone("a").size(0, 2))
        .with(service("lookups").in("records").idempotent().timeouts(8_000, 1_000))
        .with(
            service("guarded")
                .in("records")
                .idempotent()
                .staleKnowledgeMs(STALE_KNOWLEDGE_MS)
                .timeouts(8_000, 1_000))
        .with(service("bookings").in("records").timeouts(8_000, 1_500))
        .with(service("ledger").in("records").idempotent().priority(2).onlyFor("tuul"))
        .with(service("status").in("records").idempotent().open())
        .with(service("assistant").in("lm").model().idempotent().timeouts(20_000, 2_000))
        .with(service("scoring"))
        .with(
            job("sheets")
                .organisation("tuul")
                .engines("lm", "sheets")
                .scoring("scoring")
                .step(GROUPS, GROUP_SIZE)
                .stalenessBound(STALENESS_BOUND)
                .maxTokens(40)
                .weightStore(weightStore));
  }
}
