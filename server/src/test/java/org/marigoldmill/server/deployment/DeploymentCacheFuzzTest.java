package org.marigoldmill.server.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
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
 * Processes that restart follow configurations, announced versions, evacuated zones and engines
 * over a store that fails, returns partial and stale reads, and trims its history.
 *
 * <p>Invariants: no version or incarnation decreases while a process runs, and every process knows
 * the latest state once the store answers.
 */
class DeploymentCacheFuzzTest {
  private static final int ACTIONS = 600;
  private static final int FAULT_PERCENT = 25;
  private static final int ENGINES = 6;
  private static final int PROCESSES = 3;
  private static final Topic OPERATOR = new Topic("op", true);
  private static final Topic REGISTRY = new Topic("servers", true);

  /** A process that follows both topics. */
  private static final class ReaderProcess {
    private final DeploymentState state = new DeploymentState(new TextCodec());
    private final UpstreamTable upstreams = UpstreamTable.with(new Random(3));
    private final EngineRegistry registry =
        new EngineRegistry(new TextCodec(), upstreams, new EngineVersions());
    private final PartitionFollower operator;
    private final PartitionFollower engines;
    private long configVersion;
    private long announcedVersion;
    private final Map<String, Long> incarnations = new TreeMap<>();

    private ReaderProcess(LogStore operatorLog, LogStore engineLog) {
      operator = new PartitionFollower(operatorLog, OPERATOR, 0, 0, 0, state, System::nanoTime);
      state.addEvacuationListener(registry::setEvacuatedZones);
      engines = new PartitionFollower(engineLog, REGISTRY, 0, 0, 0, registry, System::nanoTime);
    }

    private boolean catchUpAndCheck() {
      boolean complete = operator.catchUp() && engines.catchUp();
      long currentConfig = state.config().map(DeploymentConfig::version).orElse(0L);
      assertThat(currentConfig).as("configuration version").isGreaterThanOrEqualTo(configVersion);
      assertThat(state.announcedVersion("m"))
          .as("announced version")
          .isGreaterThanOrEqualTo(announcedVersion);
      configVersion = currentConfig;
      announcedVersion = state.announcedVersion("m");
      incarnations.keySet().removeIf(id -> registry.engine(id).isEmpty());
      for (Engine engine : registry.enginesOf("s")) {
        Long before = incarnations.put(engine.id(), engine.incarnation());
        assertThat(before == null ? 0 : before)
            .as("incarnation of %s", engine.id())
            .isLessThanOrEqualTo(engine.incarnation());
      }
      return complete;
    }
  }

  /** State of one run: what has been written, the store and the processes that read it. */
  private static final class Simulation {
    private final Random random;
    private final FaultyStore operatorLog;
    private final FaultyStore engineLog;
    private final List<ReaderProcess> processes = new ArrayList<>();
    private final Map<String, String> engines = new TreeMap<>();
    private long configVersion;
    private long announcedVersion;
    private final Set<String> evacuatedZones = new TreeSet<>();
    private long incarnation;

    private Simulation(long seed) {
      random = new Random(seed);
      operatorLog = new FaultyStore(seed, FAULT_PERCENT);
      engineLog = new FaultyStore(seed + 1, FAULT_PERCENT);
      for (int i = 0; i < PROCESSES; i++) {
        processes.add(new ReaderProcess(operatorLog, engineLog));
      }
    }

    private void step() {
      int action = random.nextInt(100);
      if (action < 10) {
        operatorLog.put("config", Optional.of(bytes(configVersion += 1 + random.nextInt(3))));
      } else if (action < 20) {
        operatorLog.put("version/m", Optional.of(bytes(++announcedVersion)));
      } else if (action < 23) {
        writeEvacuation(List.of("y", "z").get(random.nextInt(2)));
      } else if (action < 40) {
        writeEngine("e" + random.nextInt(ENGINES));
      } else if (action < 44) {
        (random.nextBoolean() ? operatorLog : engineLog).trim();
      } else if (action < 48) {
        operatorLog.setReadLag(random.nextInt(4));
        engineLog.setReadLag(random.nextInt(4));
      } else if (action < 50) {
        processes.set(random.nextInt(PROCESSES), new ReaderProcess(operatorLog, engineLog));
      } else {
        processes.get(random.nextInt(PROCESSES)).catchUpAndCheck();
      }
    }

    private void writeEvacuation(String zone) {
      boolean evacuated = random.nextBoolean();
      if (evacuated) {
        evacuatedZones.add(zone);
      } else {
        evacuatedZones.remove(zone);
      }
      operatorLog.put("evacuate/" + zone, evacuated ? Optional.of(bytes(1)) : Optional.empty());
    }

    private void writeEngine(String id) {
      int action = random.nextInt(10);
      if (action < 2) {
        engines.remove(id);
        engineLog.put(id, Optional.empty());
      } else if (action < 3) {
        engineLog.put(id, Optional.of("of another writer".getBytes(UTF_8)));
        engineLog.put(id, Optional.ofNullable(engines.get(id)).map(e -> e.getBytes(UTF_8)));
      } else {
        String record = ++incarnation + (random.nextInt(3) == 0 ? " draining" : " ready");
        engines.put(id, record);
        engineLog.put(id, Optional.of(record.getBytes(UTF_8)));
      }
    }

    private void checkCaughtUp(ReaderProcess process) {
      for (int i = 0; i < 1_000 && !process.catchUpAndCheck(); i++) {
        assertThat(i).as("reads without success").isLessThan(999);
      }
      assertThat(process.configVersion).isEqualTo(configVersion);
      assertThat(process.announcedVersion).isEqualTo(announcedVersion);
      assertThat(process.state.evacuatedZones()).isEqualTo(evacuatedZones);
      assertThat(evacuatedZones.contains("z") ? process.upstreams.usable("s") : List.of())
          .isEmpty();
      Map<String, String> known =
          process.registry.enginesOf("s").stream()
              .collect(Collectors.toMap(Engine::id, Simulation::describe));
      assertThat(known).isEqualTo(engines);
      assertThat(process.upstreams.usable("s").stream().map(PlatformInstance::getName))
          .as("upstreams that accept new work")
          .containsExactlyInAnyOrderElementsOf(
              process.registry.availableEnginesOf("s").stream().map(Engine::id).toList());
    }

    private static String describe(Engine engine) {
      return engine.incarnation() + (engine.draining() ? " draining" : " ready");
    }

    private static byte[] bytes(long number) {
      return Long.toString(number).getBytes(UTF_8);
    }
  }

  @Property(tries = 30, seed = "31")
  void should_never_regress_and_finally_catch_up_when_the_store_fails(@ForAll long seed) {
    Simulation simulation = new Simulation(seed);
    for (int i = 0; i < ACTIONS; i++) {
      simulation.step();
    }
    simulation.operatorLog.setReadLag(0);
    simulation.engineLog.setReadLag(0);
    simulation.processes.forEach(simulation::checkCaughtUp);
  }
}
