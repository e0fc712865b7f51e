package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.NamedLimits;
import org.marigoldmill.core.limit.WarmupTable;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.deployment.UpstreamProtocol;

/** Records what upstreams say of themselves in the headers of their answers. */
public final class AnswerObserver {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final UpstreamProtocol protocol;
  private final EngineRegistry registry;
  private final UpstreamTable upstreams;
  private final EngineLimits limits;
  private final WarmupTable warmups;
  private final Clock clock;

  /** Creates an observer. */
  public AnswerObserver(
      UpstreamProtocol protocol,
      EngineRegistry registry,
      UpstreamTable upstreams,
      EngineLimits limits,
      WarmupTable warmups,
      Clock clock) {
    this.protocol = protocol;
    this.registry = registry;
    this.upstreams = upstreams;
    this.limits = limits;
    this.warmups = warmups;
    this.clock = clock;
  }

  /** Counts a request that is about to be sent to an upstream. */
  public void recordSent(String engine, long incarnation) {
    if (isListed(engine, incarnation)) {
      limits.countAttempt(engine, incarnation, clock.now());
    }
  }

  /** Records how long an upstream took to answer a request, in milliseconds. */
  void recordResponseTime(String engine, long incarnation, long responseMs) {
    listed(engine, incarnation)
        .ifPresent(e -> upstreams.recordResponse(e.service(), engine, (double) responseMs));
  }

  /** Records the headers of an answer; those of an upstream that is gone are ignored. */
  public void recordAnswer(String engine, long incarnation, List<HttpCall.Header> headers) {
    Optional<Engine> listed = listed(engine, incarnation);
    if (listed.isEmpty()) {
      return;
    }
    long now = clock.now();
    String service = listed.get().service();
    protocol
        .upstreamLoad(headers)
        .ifPresent(l -> upstreams.recordReport(service, engine, incarnation, l.toReport(), now));
    if (protocol.leaving(headers)) {
      registry.recordLeaving(engine, incarnation);
    }
    protocol
        .warmupLeftMs(headers)
        .ifPresent(ms -> warmups.recordAnswer(engine, incarnation, ms, now));
    limits
        .recordAnswer(engine, incarnation, protocol.requestLimit(headers), now)
        .ifPresent(c -> logChange(engine, incarnation, c));
  }

  private boolean isListed(String engine, long incarnation) {
    return listed(engine, incarnation).isPresent();
  }

  private Optional<Engine> listed(String engine, long incarnation) {
    return registry.engine(engine).filter(e -> e.incarnation() == incarnation);
  }

  private static void logChange(String engine, long incarnation, NamedLimits.Change change) {
    logger.atInfo().log(
        "engine limit engine=%s incarnation=%d limit=%s before=%s attempts=%d period_ms=%d",
        engine,
        incarnation,
        rateOrNone(change.after()),
        rateOrNone(change.before()),
        change.attempts(),
        change.periodMs());
  }

  private static String rateOrNone(OptionalDouble requestsPerSecond) {
    return requestsPerSecond.isPresent()
        ? Double.toString(requestsPerSecond.getAsDouble())
        : "none";
  }
}
