package org.marigoldmill.server.batch;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.route.ItemServices;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.batch.EngineAllocation.ServedModel;

/**
 * Routes items to services by one configuration and one allocation of engines.
 *
 * <p>Not thread-safe; meant for one round of the scheduler.
 */
final class ItemRouter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 5;

  private final Optional<DeploymentConfig> config;
  private final EngineAllocation allocation;
  private final Map<String, ItemServices> servicesBySubmission = new HashMap<>();

  ItemRouter(Optional<DeploymentConfig> config, EngineAllocation allocation) {
    this.config = config;
    this.allocation = allocation;
  }

  /**
   * Returns where an item may run, or empty if it must wait.
   *
   * <p>A service that has begun the text goes first, then one that has engines.
   */
  Optional<ServedModel> route(ItemTask task) {
    String model = task.submission().getModel();
    List<ServedModel> allowed =
        servicesBySubmission
            .computeIfAbsent(task.submission().getId(), id -> services(task.submission()))
            .inOrder(task.item().getId())
            .stream()
            .map(s -> new ServedModel(s, model))
            .toList();
    List<ServedModel> withEngines =
        allowed.stream().filter(s -> !allocation.of(s).isEmpty()).toList();
    return withEngines.stream()
        .filter(s -> task.textService().filter(s.service()::equals).isPresent())
        .findFirst()
        .or(() -> withEngines.stream().findFirst())
        .or(() -> allowed.stream().findFirst());
  }

  private ItemServices services(Submission submission) {
    ItemServices services =
        config
            .map(
                c ->
                    ItemServices.of(
                        c,
                        submission.getHost(),
                        submission.getPath(),
                        submission.getModel(),
                        submission.getServicesList()))
            .orElseGet(() -> new ItemServices(List.of()));
    if (services.targets().isEmpty()) {
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "items wait, no service of their route has the model submission=%s path=%s model=%s"
              + " accepted_for=%s",
          submission.getId(),
          submission.getPath(),
          submission.getModel(),
          submission.getServicesList());
    }
    return services;
  }
}
