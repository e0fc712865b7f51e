package org.marigoldmill.declare;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.util.List;
import org.marigoldmill.core.config.DeclarationRules;
import org.marigoldmill.core.rules.Violation;
import org.marigoldmill.schema.declaration.Declaration;

/**
 * Builder of a {@link Declaration}.
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
   * Creates a builder.
   *
   * @param revision revision in force that the declaration replaces, 0 for the first one
   * @return an empty builder
   */
  public static Declare against(long revision) {
    return new Declare(revision);
  }

  /** Creates an organisation without keys. */
  public static OrganisationSpec organisation(String name) {
    return new OrganisationSpec(name);
  }

  /** Creates a pool of upstreams in one availability zone. */
  public static PoolSpec pool(String name) {
    return new PoolSpec(name);
  }

  /** Creates a service. */
  public static ServiceSpec service(String name) {
    return new ServiceSpec(name);
  }

  /** Creates a rollout job. */
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
   * Fills in defaults and validates the declaration.
   *
   * @return the declaration with defaults
   * @throws InvalidDeclaration if a rule is violated; the message lists every violation
   */
  public Declaration build() {
    Declaration built = DeclarationRules.withDefaults(declaration.build());
    List<Violation> violations = DeclarationRules.check(built);
    if (!violations.isEmpty()) {
      throw new InvalidDeclaration(violations);
    }
    return built;
  }

  /**
   * Validates the declaration and formats it as JSON, as {@code marigoldmill publish} reads it.
   *
   * @throws InvalidDeclaration if a rule is violated
   */
  public String toJson() {
    try {
      return JsonFormat.printer().print(build());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("cannot format the declaration as JSON", e);
    }
  }

  /**
   * Validates the declaration and prints it as JSON to standard output.
   *
   * @throws InvalidDeclaration if a rule is violated
   */
  public void print() {
    System.out.println(toJson());
  }
}
