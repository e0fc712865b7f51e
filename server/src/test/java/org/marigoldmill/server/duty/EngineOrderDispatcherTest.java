package org.marigoldmill.server.duty;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.submission.KeyedRecord;
import org.marigoldmill.core.supply.EngineDemandPlanner.Answer;
import org.marigoldmill.core.supply.EngineOrder;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.deployment.DeploymentCodec;
import org.marigoldmill.server.deployment.DeploymentState;
import org.marigoldmill.server.deployment.DutyApi;
import org.marigoldmill.server.deployment.EngineRegistry;
import org.marigoldmill.server.store.FaultyStore;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.StoreUnavailableException;
import org.marigoldmill.server.store.Topic;

/** Orders are sent by one holder at a time, and only once a successor can know of them. */
class EngineOrderDispatcherTest {
  private static final Topic ENGINES = new Topic("engines", true);
  private static final Topic OPERATOR = new Topic("operator", true);
  private static final long ROUND_MS = 100;
  private static final long TTL_MS = 2_000;
  private static final long SETTLE_MS = 6_000;
  private static final int ENGINE_COUNT = 4;

  private final AtomicLong time = new AtomicLong(1_000_000);
  private final Stores store = new Stores();
  private final List<EngineOrder> sent = new ArrayList<>();
  private final List<Long> epochs = new ArrayList<>();
  private Answer answer = Answer.ACCEPTED;

  /** A store with one log for each topic, which fails all calls while a flag is set. */
  private static final class Stores implements LogStore {
    private final Map<String, FaultyStore> topics = new HashMap<>();
    private final AtomicBoolean appendsFail = new AtomicBoolean();

    private FaultyStore of(Topic topic) {
      return topics.computeIfAbsent(topic.name(), t -> new FaultyStore(1, 0));
    }

    @Override
    public AppendResult append(Topic topic, int part, OptionalLong end, List<KeyedRecord> records) {
      return appendsFail.get() && topic.equals(EngineOrderLog.TOPIC)
          ? new AppendResult(AppendOutcome.UNKNOWN, -1)
          : of(topic).append(topic, part, end, records);
    }

    @Override
    public ReadResult read(Topic topic, int partition, long from, long waitMs) {
      return of(topic).read(topic, partition, from, waitMs);
    }

    @Override
    public LatestRecords readLatest(Topic topic, int partition) {
      return of(topic).readLatest(topic, partition);
    }

    @Override
    public Membership join(String group, String member, Topic topic, long ttlMs, long generation) {
      throw new StoreUnavailableException("not supported: consumer groups");
    }

    @Override
    public void leave(String group, String member) {}
  }

  /** Decodes any value as a configuration or an engine of the service. */
  private static final class Codec implements DeploymentCodec {
    @Override
    public Optional<DeploymentConfig> decodeConfig(String key, byte[] value) {
      DeploymentConfig.Autoscale scale = new DeploymentConfig.Autoscale(1, 8, 1_000, Map.of(), 0.5);
      DeploymentConfig.Service service =
          new DeploymentConfig.Service("s", List.of("m"), 10, Optional.empty(), Optional.of(scale));
      return Optional.of(
          DeploymentConfig.of(
              1, List.of(), List.of(service), Map.of(), new DeploymentConfig.Limits(1, 1, 1, 1)));
    }

    @Override
    public Optional<AnnouncedVersion> decodeAnnouncedVersion(String key, byte[] value) {
      return Optional.empty();
    }

    @Override
    public Optional<String> decodeEvacuatedZone(String key) {
      return Optional.empty();
    }

    @Override
    public Optional<Engine> decodeEngine(String key, byte[] value) {
      return Optional.of(
          new Engine(key, 1, "s", "v", key, "a", 4, false, false, Map.of("m", 1L), 0));
    }
  }

  /** An instance that is a candidate for the duty. */
  private final class Instance implements DutyApi {
    private final DutyLeaseHolder lease;
    private final EngineOrderLog log = new EngineOrderLog(store, time::get);
    private final List<PartitionFollower> followers;
    private final EngineOrderDispatcher dispatcher;

    private Instance(String name) {
      lease = new DutyLeaseHolder(store, name, TTL_MS, 0, time::get);
      DeploymentState deployment = new DeploymentState(new Codec());
      EngineRegistry registry =
          new EngineRegistry(new Codec(), UpstreamTable.with(new Random(1)), new EngineVersions());
      PartitionFollower engines =
          new PartitionFollower(store, ENGINES, 0, 0, 0, registry, time::get);
      PartitionFollower operator =
          new PartitionFollower(store, OPERATOR, 0, 0, 0, deployment, time::get);
      followers = List.of(engines, operator, lease.follower(), log.follower());
      dispatcher =
          new EngineOrderDispatcher(
              lease, deployment, registry, engines, log, this, new Metrics(), name, time::get);
    }

    @Override
    public boolean reportUsage(String holder, long epoch, long window, Map<String, Long> counts) {
      throw new AssertionError("unexpected report by " + holder);
    }

    @Override
    public Answer orderEngines(String holder, long epoch, String service, EngineOrder order) {
      sent.add(order);
      epochs.add(epoch);
      return answer;
    }

    private void runPeriodicTasks(double needed) {
      followers.forEach(PartitionFollower::catchUp);
      lease.claimIfDue();
      log.publishNeed("s", "m", needed, needed > ENGINE_COUNT);
      dispatcher.sendOrders();
    }
  }

  @BeforeEach
  void registerEngines() {
    store.of(OPERATOR).put("config", Optional.of("c".getBytes(UTF_8)));
    for (int i = 0; i < ENGINE_COUNT; i++) {
      store.of(ENGINES).put("e" + i, Optional.of("e".getBytes(UTF_8)));
    }
  }

  private void run(long durationMs, double needed, Instance... instances) {
    for (long endMs = time.get() + durationMs; time.get() < endMs; ) {
      time.addAndGet(ROUND_MS);
      for (Instance instance : instances) {
        instance.runPeriodicTasks(needed);
      }
    }
  }

  @Nested
  class SendOrders {
    @Test
    void should_send_one_order_when_two_instances_could() {
      // GIVEN
      Instance first = new Instance("one");
      Instance second = new Instance("two");
      run(SETTLE_MS, 2, first, second);
      // WHEN
      run(1_500, 5.2, first, second);
      // THEN
      assertThat(sent).extracting(EngineOrder::desired).containsExactly(2);
      assertThat(sent).allMatch(o -> o.pool().reclaimable());
    }

    @Test
    void should_send_nothing_when_the_order_cannot_be_stored() {
      // GIVEN
      Instance instance = new Instance("one");
      run(SETTLE_MS, 2, instance);
      store.appendsFail.set(true);
      // WHEN
      run(2_000, 8, instance);
      // THEN
      assertThat(sent).isEmpty();
    }

    @Test
    void should_repeat_the_number_with_a_higher_epoch_when_the_holder_ends_before_the_answer() {
      // GIVEN
      Instance first = new Instance("one");
      Instance second = new Instance("two");
      run(SETTLE_MS, 2, first);
      answer = Answer.UNKNOWN;
      run(1_500, 5.2, first);
      final int before = sent.size();
      // WHEN
      answer = Answer.ACCEPTED;
      run(SETTLE_MS, 5.2, second);
      // THEN
      assertThat(before).isPositive();
      assertThat(sent.stream().distinct()).hasSize(1);
      assertThat(sent.size()).isGreaterThan(before);
      assertThat(epochs.get(before)).isGreaterThan(epochs.get(before - 1));
    }

    @Test
    void should_send_nothing_when_engines_suffice() {
      // GIVEN
      Instance instance = new Instance("one");
      // WHEN
      run(10 * SETTLE_MS, 4, instance);
      // THEN
      assertThat(sent).isEmpty();
    }
  }
}
