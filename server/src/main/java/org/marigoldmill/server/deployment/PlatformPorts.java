package org.marigoldmill.server.deployment;

import java.util.Optional;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.Topic;

/**
 * Everything that a platform provides.
 *
 * @param store the store
 * @param operatorTopic where operators and trainers write
 * @param engineTopic where engines register
 * @param codec reads both
 * @param callers protocol towards callers
 * @param upstreams protocol towards upstreams
 * @param dutyApi interface for duties, if there is one
 */
public record PlatformPorts(
    LogStore store,
    Topic operatorTopic,
    Topic engineTopic,
    DeploymentCodec codec,
    CallerProtocol callers,
    UpstreamProtocol upstreams,
    Optional<DutyApi> dutyApi) {}
