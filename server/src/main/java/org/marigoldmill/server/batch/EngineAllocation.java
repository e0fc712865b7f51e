package org.marigoldmill.server.batch;

import java.util.List;
import java.util.Map;
import org.marigoldmill.core.placement.Engine;

/**
 * The engines that accept new work, divided among the models of their services.
 *
 * @param engines engines by service and model
 */
record EngineAllocation(Map<ServedModel, List<Engine>> engines) {
  /** A model at one of the services that serve it. */
  record ServedModel(String service, String model) {}

  /** Returns the engines that a service has allocated to a model. */
  List<Engine> of(ServedModel served) {
    return engines.getOrDefault(served, List.of());
  }

  /** Returns all engines of a service. */
  List<Engine> ofService(String service) {
    return engines.entrySet().stream()
        .filter(e -> e.getKey().service().equals(service))
        .flatMap(e -> e.getValue().stream())
        .toList();
  }
}
