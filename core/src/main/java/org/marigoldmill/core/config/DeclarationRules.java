package org.marigoldmill.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.marigoldmill.core.rules.RuleChecker;
import org.marigoldmill.core.rules.ShouldMatchRule;
import org.marigoldmill.core.rules.Violation;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.declaration.Key;
import org.marigoldmill.schema.declaration.Organisation;
import org.marigoldmill.schema.declaration.Pool;
import org.marigoldmill.schema.declaration.Service;

/** Validates declarations, including the rules that span several fields. */
public final class DeclarationRules {
  private DeclarationRules() {}

  /** Returns the declaration with absent fields set to the defaults of the schema. */
  public static Declaration withDefaults(Declaration declaration) {
    return (Declaration) RuleChecker.withDefaults(declaration);
  }

  /** Returns the pool that runs a service; by default it is named after the service. */
  public static String poolOf(Service service) {
    return service.getPool().isEmpty() ? service.getName() : service.getPool();
  }

  /** Returns all violations in a declaration. */
  public static List<Violation> check(Declaration declaration) {
    List<Violation> violations = new ArrayList<>(RuleChecker.check(declaration));
    checkUnique(
        "organisations", declaration.getOrganisationsList(), Organisation::getName, violations);
    checkUnique("services", declaration.getServicesList(), Service::getName, violations);
    checkUnique("jobs", declaration.getJobsList(), Job::getName, violations);
    checkUnique(
        "pools", declaration.getPoolsList(), p -> p.getName() + "/" + p.getZone(), violations);
    checkUnique(
        "organisations.keys",
        declaration.getOrganisationsList().stream().flatMap(o -> o.getKeysList().stream()).toList(),
        Key::getSha256,
        violations);
    checkServices(declaration, violations);
    checkJobs(declaration, violations);
    declaration.getPoolsList().stream()
        .filter(p -> p.getMax() < p.getMin())
        .forEach(
            p ->
                violations.add(
                    new Violation(
                        "pools." + p.getName() + ".max",
                        "at least min " + p.getMin(),
                        "'" + p.getMax() + "'")));
    return violations;
  }

  private static void checkServices(Declaration declaration, List<Violation> violations) {
    Set<String> organisations = names(declaration.getOrganisationsList(), Organisation::getName);
    Set<String> pools = names(declaration.getPoolsList(), Pool::getName);
    for (Service service : declaration.getServicesList()) {
      String key = "services." + service.getName();
      checkReference(key + ".pool", "a pool", poolOf(service), pools, violations);
      service
          .getOrganisationsList()
          .forEach(
              o ->
                  checkReference(
                      key + ".organisations", "an organisation", o, organisations, violations));
    }
  }

  private static void checkJobs(Declaration declaration, List<Violation> violations) {
    Set<String> organisations = names(declaration.getOrganisationsList(), Organisation::getName);
    Set<String> pools = names(declaration.getPoolsList(), Pool::getName);
    for (Job job : declaration.getJobsList()) {
      String key = "jobs." + job.getName();
      checkReference(
          key + ".organisation",
          "an organisation",
          job.getOrganisation(),
          organisations,
          violations);
      checkReference(key + ".engines", "a pool", job.getEngines(), pools, violations);
      if (!job.getScoring().isEmpty()) {
        Set<String> services = names(declaration.getServicesList(), Service::getName);
        checkReference(key + ".scoring", "a service", job.getScoring(), services, violations);
      }
    }
  }

  private static void checkReference(
      String key, String kind, String name, Set<String> known, List<Violation> violations) {
    if (!known.contains(name)) {
      violations.add(ShouldMatchRule.shouldReferTo(key, kind, name));
    }
  }

  private static <T> void checkUnique(
      String key, List<T> all, Function<T, String> name, List<Violation> violations) {
    Set<String> seen = new HashSet<>();
    all.stream()
        .map(name)
        .filter(n -> !seen.add(n))
        .forEach(n -> violations.add(ShouldMatchRule.shouldBeUnique(key, n)));
  }

  private static <T> Set<String> names(List<T> all, Function<T, String> name) {
    return all.stream().map(name).collect(Collectors.toSet());
  }
}
