package org.marigoldmill.server.state;

import static java.util.stream.Collectors.toMap;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldmill.core.config.DeclarationRules;
import org.marigoldmill.core.key.KeyDirectory;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.declaration.Organisation;
import org.marigoldmill.schema.declaration.Pool;
import org.marigoldmill.schema.declaration.Service;

/**
 * The declaration in force, indexed.
 *
 * @param revision revision of the declaration, 0 for none
 * @param declaration the declaration
 * @param keys API keys that are not withdrawn
 * @param services services by name
 * @param jobs jobs by name
 * @param weights weights by organisation
 */
public record Config(
    long revision,
    Declaration declaration,
    KeyDirectory keys,
    Map<String, Service> services,
    Map<String, Job> jobs,
    Map<String, Double> weights) {
  private static final int DEFAULT_MAX_IN_FLIGHT = 32;
  private static final int DEFAULT_MAX_QUEUE = 256;

  /** Creates the index of a declaration, with defaults filled in and without withdrawn keys. */
  public static Config of(long revision, Declaration declared, Set<String> withdrawn) {
    Declaration declaration = DeclarationRules.withDefaults(declared);
    return new Config(
        revision,
        declaration,
        KeyDirectory.of(declaration, withdrawn),
        declaration.getServicesList().stream().collect(toMap(Service::getName, s -> s)),
        declaration.getJobsList().stream().collect(toMap(Job::getName, j -> j)),
        declaration.getOrganisationsList().stream()
            .collect(toMap(Organisation::getName, Organisation::getWeight)));
  }

  /** Returns the maximum number of requests in flight at one upstream of a pool. */
  public int inFlightPerUpstream(String pool) {
    return pool(pool).map(Pool::getMaxInFlight).orElse(DEFAULT_MAX_IN_FLIGHT);
  }

  /** Returns the maximum queue length of a pool, the largest of its services. */
  public int queueLimit(String pool) {
    return declaration.getServicesList().stream()
        .filter(s -> DeclarationRules.poolOf(s).equals(pool))
        .mapToInt(Service::getMaxQueue)
        .max()
        .orElse(DEFAULT_MAX_QUEUE);
  }

  private Optional<Pool> pool(String name) {
    return declaration.getPoolsList().stream().filter(p -> p.getName().equals(name)).findFirst();
  }
}
