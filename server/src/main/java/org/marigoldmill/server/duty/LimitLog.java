package org.marigoldmill.server.duty;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.marigoldmill.core.limit.DemandReport;
import org.marigoldmill.core.limit.EngineDemand;
import org.marigoldmill.core.limit.EngineLimits;
import org.marigoldmill.core.limit.TurnClaim;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.schema.fleet.LimitReport;
import org.marigoldmill.schema.fleet.LimitedEngine;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoredRecord;
import org.marigoldmill.server.store.Topic;

/**
 * Log through which the instances share the request limits of engines.
 *
 * <p>Its key is the instance, so that the latest records also tell how many instances there are.
 */
public final class LimitLog implements PartitionFollower.Sink {
  /** Topic that stores the log. */
  public static final Topic TOPIC = new Topic("limits", true);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long READ_WAIT_MS = 2_000;
  private static final long READ_PAUSE_MS = 250;

  /** Older reports are read after a load; they only tell that an instance exists. */
  private static final long MAX_REPORT_AGE_MS = 10_000;

  private final LogStore store;
  private final String instance;
  private final EngineLimits limits;
  private final EngineRegistry registry;
  private final LongSupplier unixMs;
  private final Clock clock;
  private final PartitionFollower follower;
  private boolean presenceStored;

  /**
   * Creates the log of one instance.
   *
   * @param unixMs wall clock, in Unix milliseconds
   */
  public LimitLog(
      LogStore store,
      String instance,
      EngineLimits limits,
      EngineRegistry registry,
      LongSupplier unixMs,
      Clock clock) {
    this.store = store;
    this.instance = instance;
    this.limits = limits;
    this.registry = registry;
    this.unixMs = unixMs;
    this.clock = clock;
    this.follower =
        new PartitionFollower(store, TOPIC, 0, READ_WAIT_MS, READ_PAUSE_MS, this, clock);
  }

  /** Returns the follower that reads the topic. */
  public PartitionFollower follower() {
    return follower;
  }

  /** Publishes what is due; meant to be called periodically. */
  public void publishDue() {
    if (!presenceStored) {
      presenceStored = append(limits.presence()) == LogStore.AppendOutcome.STORED;
    }
    limits.reportDue(clock.now()).ifPresent(this::publish);
  }

  /** Publishes that this instance is leaving. */
  public void leave() {
    store.append(
        TOPIC, 0, OptionalLong.empty(), List.of(new KeyedRecord(instance, Optional.empty())));
  }

  @Override
  public void reset() {
    limits.resetInstances();
  }

  @Override
  public void apply(StoredRecord stored) {
    if (stored.value().isEmpty()) {
      limits.removeInstance(stored.key());
      return;
    }
    try {
      LimitReport report = LimitReport.parseFrom(stored.value().get());
      limits.applyReport(stored.key(), toReport(report), stored.offset(), clock.now());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("malformed limit report: " + e.getMessage(), e);
    }
  }

  @Override
  public void advanceTo(long offset) {
    limits.recordLogHeard(clock.now());
  }

  private void publish(DemandReport report) {
    LogStore.AppendOutcome outcome = append(report);
    if (outcome != LogStore.AppendOutcome.STORED) {
      logger.atInfo().log(
          "limit report not stored number=%d engines=%d outcome=%s",
          report.number(), report.engines().size(), outcome);
    }
  }

  private LogStore.AppendOutcome append(DemandReport report) {
    KeyedRecord appended = new KeyedRecord(instance, Optional.of(toMessage(report).toByteArray()));
    return store.append(TOPIC, 0, OptionalLong.empty(), List.of(appended)).outcome();
  }

  private LimitReport toMessage(DemandReport report) {
    LimitReport.Builder message =
        LimitReport.newBuilder()
            .setProcess(report.process())
            .setNumber(report.number())
            .setPublishedUnixMs(unixMs.getAsLong());
    report.engines().forEach(d -> message.addEngines(toMessage(d)));
    report.claims().forEach(c -> message.addEngines(toMessage(c)));
    return message.build();
  }

  private static LimitedEngine toMessage(EngineDemand demand) {
    LimitedEngine.Builder message =
        LimitedEngine.newBuilder()
            .setEngine(demand.engine())
            .setIncarnation(demand.incarnation())
            .setCalls(demand.calls())
            .setBackground(demand.background())
            .setLimitAgeMs(demand.limitAgeMs());
    demand.limit().ifPresent(message::setLimit);
    return message.build();
  }

  /**
   * Encodes a claim as the entry of an engine with a negative start time, the complement of its
   * real one. Builds that know no claims find no such engine, and ignore the entry.
   */
  private static LimitedEngine toMessage(TurnClaim claim) {
    return LimitedEngine.newBuilder()
        .setEngine(claim.engine())
        .setIncarnation(~claim.incarnation())
        .setCalls(claim.turns())
        .setBackground((double) claim.readTo())
        .setLimit(claim.budget())
        .setLimitAgeMs(claim.warmupLeftMs())
        .build();
  }

  private static TurnClaim toClaim(LimitedEngine message) {
    return new TurnClaim(
        message.getEngine(),
        ~message.getIncarnation(),
        (int) message.getCalls(),
        (int) message.getLimit(),
        (long) message.getBackground(),
        message.getLimitAgeMs());
  }

  private static boolean isClaim(LimitedEngine message) {
    return message.getIncarnation() < 0;
  }

  private DemandReport toReport(LimitReport message) {
    boolean recent = unixMs.getAsLong() - message.getPublishedUnixMs() <= MAX_REPORT_AGE_MS;
    List<EngineDemand> engines =
        message.getEnginesList().stream()
            .filter(e -> recent && !isClaim(e) && isPresent(e))
            .map(LimitLog::toDemand)
            .toList();
    List<TurnClaim> claims =
        message.getEnginesList().stream()
            .filter(e -> recent && isClaim(e))
            .map(LimitLog::toClaim)
            .toList();
    return new DemandReport(message.getProcess(), message.getNumber(), engines, claims);
  }

  private boolean isPresent(LimitedEngine message) {
    return registry
        .engine(message.getEngine())
        .filter(e -> e.incarnation() == message.getIncarnation())
        .isPresent();
  }

  private static EngineDemand toDemand(LimitedEngine message) {
    return new EngineDemand(
        message.getEngine(),
        message.getIncarnation(),
        message.getCalls(),
        message.getBackground(),
        message.hasLimit() ? OptionalDouble.of(message.getLimit()) : OptionalDouble.empty(),
        message.getLimitAgeMs());
  }
}
