package org.marigoldmill.server.deployment;

import java.util.Optional;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.Topic;

/**
 * The ports that a platform implements.
 *
 * @param store log store
 * @param operatorTopic topic of configurations and announced versions
 * @param engineTopic topic in which engines register
 * @param codec decodes the records of both topics
 * @param callers protocol of callers
 * @param upstreams protocol of upstreams
 * @param dutyApi API for duties, or empty if the platform has none
 */
public record PlatformPorts(
    LogStore store,
    Topic operatorTopic,
    Topic engineTopic,
    DeploymentCodec codec,
    CallerProtocol callers,
    UpstreamProtocol upstreams,
    Optional<DutyApi> dutyApi) {}
