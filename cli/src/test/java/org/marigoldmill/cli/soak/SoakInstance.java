package org.marigoldmill.cli.soak;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.marigoldmill.cli.process.DeploymentProcess;
import org.marigoldmill.cli.process.Relay;
import org.marigoldmill.cli.soak.SoakLog.Promise;

/** An instance under soak: its process, which is started again after each end, and its link. */
final class SoakInstance {
  /** Time between SIGTERM and SIGKILL, in milliseconds ({@code grace_s}). */
  static final long GRACE_MS = 8_000;

  private final String name;
  private final Relay storeLink;
  private final DeploymentProcess deployed;
  private final Disturbances disturbances;
  private final SoakLog log;
  private final AtomicInteger lives = new AtomicInteger(1);
  private final AtomicBoolean ending = new AtomicBoolean();
  private boolean closed;
  private volatile boolean ready;
  private volatile long stoppedMs = -1;

  SoakInstance(
      String binary,
      String name,
      Path directory,
      String store,
      Disturbances disturbances,
      SoakLog log) {
    this.name = name;
    this.disturbances = disturbances;
    this.log = log;
    this.storeLink = new Relay(store);
    this.deployed = DeploymentProcess.startBinary(binary, name, directory, storeLink.address());
  }

  String name() {
    return name;
  }

  String address() {
    return deployed.callerAddress();
  }

  String readinessAddress() {
    return deployed.readinessAddress();
  }

  /** Returns the number of times that the process has been started. */
  int life() {
    return lives.get();
  }

  /** Returns when the present process was sent SIGTERM, or -1. */
  long stoppedMs() {
    return stoppedMs;
  }

  void noteReady(int life) {
    ready |= life == lives.get();
  }

  /** Returns whether the present process has been ready. */
  boolean hasBeenReady() {
    return ready;
  }

  Relay storeLink() {
    return storeLink;
  }

  void hangUp() {
    // A JVM that has not yet installed its handler would end on this signal.
    if (ready) {
      deployed.process().sendHangUp();
    }
  }

  /** Sends SIGTERM and starts the process again; one that is ending already gets the signal. */
  void stopAndRestart() {
    if (!ending.compareAndSet(false, true)) {
      deployed.process().terminate();
      return;
    }
    final Disturbances.Interval work = disturbances.beginPlanned(name);
    stop();
    restart(work);
  }

  /** Sends SIGTERM and starts the binary of another build in its place. */
  void replaceBy(String binary) {
    deployed.setBinary(binary);
    stopAndRestart();
  }

  /** Sends SIGTERM, waits for the end of the process and checks it. */
  void stop() {
    ending.set(true);
    final boolean wasReady = ready;
    final long sentMs = log.now();
    stoppedMs = sentMs;
    deployed.process().terminate();
    log.event("SIGTERM %s life=%d", name, lives.get());
    boolean ended = deployed.process().awaitExit(GRACE_MS);
    long endedMs = log.now();
    boolean checked = disturbances.withoutFault(name, sentMs, endedMs);
    if (!ended) {
      deployed.process().kill();
    }
    int code = deployed.process().exitCode();
    // A process that is stopped before it has installed its handler ends with the signal's code.
    if (checked && (!ended || (wasReady && code != 0))) {
      log.violation(
          Promise.STOP,
          "%s life=%d term_ms=%d ended_ms=%d in_grace=%s code=%d",
          name,
          lives.get(),
          sentMs,
          endedMs,
          ended,
          code);
    }
  }

  /** Kills the process and starts it again; one that is ending is only killed. */
  void killAndRestart() {
    final Disturbances.Interval fault = disturbances.beginFault(name);
    if (!ending.compareAndSet(false, true)) {
      deployed.process().kill();
      disturbances.end(fault);
      return;
    }
    log.event("SIGKILL %s life=%d", name, lives.get());
    deployed.process().kill();
    restart(fault);
  }

  /** Suspends the process for a time. */
  void pause(long millis) {
    final Disturbances.Interval fault = disturbances.beginFault(name);
    deployed.process().freeze();
    SoakRun.sleep(millis);
    deployed.process().resume();
    disturbances.end(fault);
  }

  /** Starts the process again if it has ended by itself, which breaks a promise. */
  void checkAlive() {
    if (!deployed.process().isAlive() && ending.compareAndSet(false, true)) {
      final Disturbances.Interval fault = disturbances.beginFault(name);
      log.violation(
          Promise.STOP, "%s ended by itself code=%d", name, deployed.process().exitCode());
      restart(fault);
    }
  }

  /** Kills the process for good. */
  synchronized void close() {
    closed = true;
    deployed.process().kill();
    storeLink.close();
  }

  private synchronized void restart(Disturbances.Interval disturbance) {
    if (closed) {
      return;
    }
    ready = false;
    stoppedMs = -1;
    lives.incrementAndGet();
    deployed.process().restart();
    disturbances.end(disturbance);
    ending.set(false);
    log.event("started again %s life=%d", name, lives.get());
  }
}
