package org.marigoldmill.server.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.placement.EngineShares;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.batch.EngineAllocation.ServedModel;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.EngineRegistry;

/**
 * Allocates the engines of each service to its models.
 *
 * <p>The allocation depends only on stored state, so all instances compute the same one.
 */
public final class ModelEngineAllocator {
  private static final Comparator<Submission> BY_ACCEPTANCE_TIME =
      Comparator.comparingLong(Submission::getAcceptedAtMs).thenComparing(Submission::getId);

  private final DeploymentState deployment;
  private final EngineRegistry registry;
  private final SubmissionPartitions partitions;

  /** Creates an allocator over the state that this instance has read from the store. */
  public ModelEngineAllocator(
      DeploymentState deployment, EngineRegistry registry, SubmissionPartitions partitions) {
    this.deployment = deployment;
    this.registry = registry;
    this.partitions = partitions;
  }

  /** Returns the models of the active configuration. */
  List<String> models() {
    return services().stream().flatMap(s -> s.models().stream()).toList();
  }

  /** Returns the allocation of engines that accept new work. */
  EngineAllocation allocation() {
    Map<String, Submission> newest = new HashMap<>();
    partitions
        .allSubmissions()
        .forEach(
            s ->
                newest.merge(
                    s.getModel(), s, (a, b) -> BY_ACCEPTANCE_TIME.compare(a, b) > 0 ? a : b));
    Map<ServedModel, List<Engine>> engines = new HashMap<>();
    services().stream()
        .filter(s -> !s.models().isEmpty())
        .forEach(s -> allocate(s, newest, engines));
    return new EngineAllocation(engines);
  }

  private List<DeploymentConfig.Service> services() {
    return deployment.config().map(DeploymentConfig::services).orElse(List.of());
  }

  /**
   * Divides the engines of a service by the work of each model's newest submission and by the
   * engines' speeds; a model without submissions counts as the average of the others.
   */
  private void allocate(
      DeploymentConfig.Service service,
      Map<String, Submission> newest,
      Map<ServedModel, List<Engine>> allocated) {
    List<Engine> engines = registry.availableEnginesOf(service.name());
    double averageTokens =
        service.models().stream()
            .flatMap(m -> Optional.ofNullable(newest.get(m)).stream())
            .mapToLong(Submission::getWorkTokens)
            .average()
            .orElse(1);
    Map<String, Double> demand = new HashMap<>();
    service
        .models()
        .forEach(
            m ->
                demand.put(
                    m,
                    Optional.ofNullable(newest.get(m))
                        .map(s -> (double) s.getWorkTokens())
                        .orElse(averageTokens)));
    EngineShares allocation =
        EngineShares.divide(
            engines.stream().map(Engine::id).toList(), demand, partitions.engineTimes());
    for (String model : service.models()) {
      Set<String> ids = allocation.engines(model);
      allocated.put(
          new ServedModel(service.name(), model),
          engines.stream().filter(e -> ids.contains(e.id())).toList());
    }
  }
}
