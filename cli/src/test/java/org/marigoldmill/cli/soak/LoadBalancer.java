package org.marigoldmill.cli.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.marigoldmill.cli.soak.CallerConnection.Request;

/** Chooses an instance for each new connection, as the platform's load balancer does. */
final class LoadBalancer {
  private static final long POLL_INTERVAL_MS = 1_000;
  private static final int MISSES_TO_REMOVE = 2;

  private final List<SoakInstance> instances;
  private final SoakLog log;
  private final Map<String, Integer> misses = new ConcurrentHashMap<>();

  LoadBalancer(List<SoakInstance> instances, SoakLog log) {
    this.instances = instances;
    this.log = log;
    instances.forEach(i -> misses.put(i.name(), MISSES_TO_REMOVE));
  }

  /** Polls the readiness of an instance; to be called repeatedly. */
  void poll(SoakInstance instance) {
    final int life = instance.life();
    boolean ready = isReady(instance);
    int before = misses.get(instance.name());
    misses.put(instance.name(), ready ? 0 : before + 1);
    if (ready) {
      instance.noteReady(life);
    }
    if (before >= MISSES_TO_REMOVE == ready || (!ready && before + 1 == MISSES_TO_REMOVE)) {
      log.event("in rotation %s %s", instance.name(), ready);
    }
    instance.checkAlive();
    SoakRun.sleep(POLL_INTERVAL_MS);
  }

  boolean isInRotation(SoakInstance instance) {
    return misses.get(instance.name()) < MISSES_TO_REMOVE;
  }

  /** Returns an instance in rotation, or any if fewer than half are. */
  SoakInstance pick(Random random) {
    List<SoakInstance> rotation = instances.stream().filter(this::isInRotation).toList();
    List<SoakInstance> choice = rotation.size() * 2 < instances.size() ? instances : rotation;
    return choice.get(random.nextInt(choice.size()));
  }

  private boolean isReady(SoakInstance instance) {
    try {
      Request poll = Request.get("/-/readyz", "", "");
      return CallerConnection.call(instance.readinessAddress(), log, poll).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }
}
