package org.marigoldmill.declare;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.util.List;
import org.marigoldmill.core.config.DeclarationRules;
import org.marigoldmill.core.rules.Violation;
import org.marigoldmill.schema.declaration.Declaration;

/**
 * Builds a declaration.
 *
 * <pre>{@code
 * Declare.against(0)
 *     .with(organisation("tuul").key("inspectors", "3f…"))
 *     .with(pool("records-app").zone("a").size(3, 5))
 *     .with(service("lookups").in("records-app").idempotent().priority(0))
 *     .print();
 * }</pre>
 */
public final class Declare {
  private final Declaration.Builder declaration = Declaration.newBuilder();

  private Declare(long revision) {
    declaration.setAgainstRevision(revision);
  }

  /**
   * Starts a declaration.
   *
   * @param revision revision in force that it replaces, 0 for the first
   * @return the builder
   */
  public static Declare against(long revision) {
    return new Declare(revision);
  }

  /** Starts an organisation. */
  public static OrganisationSpec organisation(String name) {
    return new OrganisationSpec(name);
  }

  /** Starts a pool of upstreams in one availability zone. */
  public static PoolSpec pool(String name) {
    return new PoolSpec(name);
  }

  /** Starts a service. */
  public static ServiceSpec service(String name) {
    return new ServiceSpec(name);
  }

  /** Starts a rollout job. */
  public static JobSpec job(String name) {
    return new JobSpec(name);
  }

  /** Adds an organisation. */
  public Declare with(OrganisationSpec spec) {
    declaration.addOrganisations(spec.toMessage());
    return this;
  }

  /** Adds a pool. */
  public Declare with(PoolSpec spec) {
    declaration.addPools(spec.toMessage());
    return this;
  }

  /** Adds a service. */
  public Declare with(ServiceSpec spec) {
    declaration.addServices(spec.toMessage());
    return this;
  }

  /** Adds a rollout job. */
  public Declare with(JobSpec spec) {
    declaration.addJobs(spec.toMessage());
    return this;
  }

  /** Sets the length of a usage window, in milliseconds. */
  public Declare usageWindowMs(long ms) {
    declaration.setUsageWindowMs(ms);
    return this;
  }

  /**
   * Validates and returns the declaration.
   *
   * @throws InvalidDeclaration when it has mistakes; the message names all of them
   */
  public Declaration build() {
    Declaration built = DeclarationRules.withDefaults(declaration.build());
    List<Violation> violations = DeclarationRules.check(built);
    if (!violations.isEmpty()) {
      throw new InvalidDeclaration(violations);
    }
    return built;
  }

  /** Validates the declaration and returns it as the JSON that {@code publish} takes. */
  public String toJson() {
    try {
      return JsonFormat.printer().print(build());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a declaration is always JSON", e);
    }
  }

  /** Prints the JSON to standard output. */
  public void print() {
    System.out.println(toJson());
  }
}
