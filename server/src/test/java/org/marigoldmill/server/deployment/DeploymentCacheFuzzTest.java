package org.marigoldmill.server.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldmill.core.placement.Engine;
import org.marigoldmill.core.route.DeploymentConfig;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.server.store.FaultyStore;
import org.marigoldmill.server.store.LogStore;
import org.marigoldmill.server.store.PartitionFollower;
import org.marigoldmill.server.store.Topic;

/**
 * Configurations, named versions and engines are followed over a store that fails, answers part by
 * part, reads behind its end and drops its history, by processes that restart, against the oracle
 * that nothing goes back within one life of a process and that everything is known once the store
 * answers.
 */
class DeploymentCacheFuzzTest {
  private static final int ACTIONS = 600;
  private static final int FAULT_PERCENT = 25;
  private static final int ENGINES = 6;
  private static final int PROCESSES = 3;
  private static final Topic OPERATOR = new Topic("op", true);
  private static final Topic REGISTRY = new Topic("servers", true);

  /** One process that follows both topics. */
  private static final class Reader {
    private final DeploymentState state = new DeploymentState(new TextCodec());
    private final UpstreamTable upstreams = UpstreamTable.with(new Random(3));
    private final EngineRegistry registry =
        new EngineRegistry(new TextCodec(), upstreams, new EngineVersions());
    private final PartitionFollower operator;
    private final PartitionFollower engines;
    private long config;
    private long named;
    private final Map<String, Long> lives = new TreeMap<>();

    private Reader(LogStore operatorLog, LogStore engineLog) {
      operator = new PartitionFollower(operatorLog, OPERATOR, 0, 0, 0, state, System::nanoTime);
      engines = new PartitionFollower(engineLog, REGISTRY, 0, 0, 0, registry, System::nanoTime);
    }

    private boolean read() {
      boolean all = operator.catchUp() && engines.catchUp();
      long present = state.config().map(DeploymentConfig::version).orElse(0L);
      assertThat(present).as("version of the configuration").isGreaterThanOrEqualTo(config);
      assertThat(state.announcedVersion("m")).as("named version").isGreaterThanOrEqualTo(named);
      config = present;
      named = state.announcedVersion("m");
      lives.keySet().removeIf(id -> registry.engine(id).isEmpty());
      for (Engine engine : registry.enginesOf("s")) {
        Long before = lives.put(engine.id(), engine.incarnation());
        assertThat(before == null ? 0 : before)
            .as("life of %s", engine.id())
            .isLessThanOrEqualTo(engine.incarnation());
      }
      return all;
    }
  }

  /** Writers, store and readers. */
  private static final class World {
    private final Random random;
    private final FaultyStore operatorLog;
    private final FaultyStore engineLog;
    private final List<Reader> readers = new ArrayList<>();
    private final Map<String, String> engines = new TreeMap<>();
    private long config;
    private long named;
    private long lives;

    private World(long seed) {
      random = new Random(seed);
      operatorLog = new FaultyStore(seed, FAULT_PERCENT);
      engineLog = new FaultyStore(seed + 1, FAULT_PERCENT);
      for (int i = 0; i < PROCESSES; i++) {
        readers.add(new Reader(operatorLog, engineLog));
      }
    }

    private void act() {
      int action = random.nextInt(100);
      if (action < 10) {
        operatorLog.put("config", Optional.of(bytes(config += 1 + random.nextInt(3))));
      } else if (action < 20) {
        operatorLog.put("version/m", Optional.of(bytes(++named)));
      } else if (action < 40) {
        engine("e" + random.nextInt(ENGINES));
      } else if (action < 44) {
        (random.nextBoolean() ? operatorLog : engineLog).trim();
      } else if (action < 48) {
        operatorLog.setReadLag(random.nextInt(4));
        engineLog.setReadLag(random.nextInt(4));
      } else if (action < 50) {
        readers.set(random.nextInt(PROCESSES), new Reader(operatorLog, engineLog));
      } else {
        readers.get(random.nextInt(PROCESSES)).read();
      }
    }

    private void engine(String id) {
      int what = random.nextInt(10);
      if (what < 2) {
        engines.remove(id);
        engineLog.put(id, Optional.empty());
      } else if (what < 3) {
        engineLog.put(id, Optional.of("of another writer".getBytes(UTF_8)));
        engineLog.put(id, Optional.ofNullable(engines.get(id)).map(e -> e.getBytes(UTF_8)));
      } else {
        String entry = ++lives + (random.nextInt(3) == 0 ? " draining" : " ready");
        engines.put(id, entry);
        engineLog.put(id, Optional.of(entry.getBytes(UTF_8)));
      }
    }

    private void check(Reader reader) {
      for (int i = 0; i < 1_000 && !reader.read(); i++) {
        assertThat(i).as("reads without success").isLessThan(999);
      }
      assertThat(reader.config).isEqualTo(config);
      assertThat(reader.named).isEqualTo(named);
      Map<String, String> known =
          reader.registry.enginesOf("s").stream()
              .collect(Collectors.toMap(Engine::id, World::described));
      assertThat(known).isEqualTo(engines);
      assertThat(reader.upstreams.usable("s").stream().map(PlatformInstance::getName))
          .as("upstreams that take new work")
          .containsExactlyInAnyOrderElementsOf(
              reader.registry.availableEnginesOf("s").stream().map(Engine::id).toList());
    }

    private static String described(Engine engine) {
      return engine.incarnation() + (engine.draining() ? " draining" : " ready");
    }

    private static byte[] bytes(long number) {
      return Long.toString(number).getBytes(UTF_8);
    }
  }

  @Property(tries = 30, seed = "31")
  void should_never_go_back_and_know_all_in_the_end_when_the_store_fails(@ForAll long seed) {
    World world = new World(seed);
    for (int i = 0; i < ACTIONS; i++) {
      world.act();
    }
    world.operatorLog.setReadLag(0);
    world.engineLog.setReadLag(0);
    world.readers.forEach(world::check);
  }
}
