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
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.EngineRegistry;

/** The engines of each model, computed alike by every instance from what the store holds. */
public final class ModelEngineAllocator {
  private static final Comparator<Submission> NEWEST =
      Comparator.comparingLong(Submission::getAcceptedAtMs).thenComparing(Submission::getId);

  private final DeploymentState deployment;
  private final EngineRegistry registry;
  private final SubmissionPartitions partitions;

  /** Creates the computation over what this instance knows. */
  public ModelEngineAllocator(
      DeploymentState deployment, EngineRegistry registry, SubmissionPartitions partitions) {
    this.deployment = deployment;
    this.registry = registry;
    this.partitions = partitions;
  }

  /** Returns the models of the configuration in force. */
  List<String> models() {
    return services().stream().flatMap(s -> s.models().stream()).toList();
  }

  /**
   * Returns the engines of each model that take new work.
   *
   * @return engines by model
   */
  public Map<String, List<Engine>> enginesByModel() {
    Map<String, Submission> newest = new HashMap<>();
    partitions
        .allSubmissions()
        .forEach(h -> newest.merge(h.getModel(), h, (a, b) -> NEWEST.compare(a, b) > 0 ? a : b));
    Map<String, List<Engine>> shares = new HashMap<>();
    services().stream().filter(s -> !s.models().isEmpty()).forEach(s -> divide(s, newest, shares));
    return shares;
  }

  private List<DeploymentConfig.Service> services() {
    return deployment.config().map(DeploymentConfig::services).orElse(List.of());
  }

  private void divide(
      DeploymentConfig.Service service,
      Map<String, Submission> newest,
      Map<String, List<Engine>> shares) {
    List<Engine> engines = registry.availableEnginesOf(service.name());
    double known =
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
                        .orElse(known)));
    EngineShares divided = EngineShares.divide(engines.stream().map(Engine::id).toList(), demand);
    for (String model : service.models()) {
      Set<String> ids = divided.engines(model);
      shares.put(model, engines.stream().filter(e -> ids.contains(e.id())).toList());
    }
  }
}
