package org.marigoldmill.server.state;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.marigoldmill.core.config.LogReducer;
import org.marigoldmill.schema.log.Snapshot;

/** State reduced from the log, with key withdrawals received ahead of it; getters never block. */
public final class SharedState {
  private static final long AWAIT_STEP_MS = 200;

  private final Object monitor = new Object();
  private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<Set<String>>> withdrawalListeners = new CopyOnWriteArrayList<>();
  private volatile Snapshot snapshot = LogReducer.empty();
  private volatile Set<String> withdrawn = Set.of();
  private volatile Config config = Config.of(0, snapshot.getDeclaration(), Set.of());

  /** Returns the state reduced from the log. */
  public Snapshot snapshot() {
    return snapshot;
  }

  /** Returns the declaration in force. */
  public Config config() {
    return config;
  }

  /** Returns the hashes of all withdrawn keys. */
  public Set<String> withdrawn() {
    return withdrawn;
  }

  /** Returns the hashes of withdrawn keys that the reduced log does not contain yet. */
  public Set<String> withdrawnAheadOfLog() {
    Set<String> ahead = new TreeSet<>(withdrawn);
    ahead.removeAll(snapshot.getWithdrawnList());
    return ahead;
  }

  /** Registers a listener that is called on the advancing thread after each advance. */
  public void onAdvance(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /** Registers a listener for the hashes of newly withdrawn keys. */
  public void onWithdrawal(Consumer<Set<String>> listener) {
    withdrawalListeners.add(listener);
  }

  /** Replaces the state by one with a higher next offset; any other is ignored. */
  public void advance(Snapshot later) {
    synchronized (monitor) {
      if (later.getNextOffset() <= snapshot.getNextOffset()) {
        return;
      }
      snapshot = later;
      withdraw(later.getWithdrawnList());
      reindex();
      monitor.notifyAll();
    }
    listeners.forEach(l -> l.accept(later));
  }

  /** Adds the hashes of withdrawn API keys; a withdrawal is permanent. */
  public void withdraw(List<String> keyHashes) {
    Set<String> added = new TreeSet<>(keyHashes);
    synchronized (monitor) {
      added.removeAll(withdrawn);
      if (added.isEmpty()) {
        return;
      }
      Set<String> all = new HashSet<>(withdrawn);
      all.addAll(added);
      withdrawn = Set.copyOf(all);
      config = Config.of(snapshot.getRevision(), snapshot.getDeclaration(), withdrawn);
    }
    withdrawalListeners.forEach(l -> l.accept(added));
  }

  /** Returns whether a condition became true within {@code waitMs} milliseconds. */
  public boolean await(BooleanSupplier condition, long waitMs) throws InterruptedException {
    long deadlineMs = System.nanoTime() / 1_000_000 + waitMs;
    synchronized (monitor) {
      while (!condition.getAsBoolean()) {
        long remainingMs = deadlineMs - System.nanoTime() / 1_000_000;
        if (remainingMs <= 0) {
          return false;
        }
        monitor.wait(Math.min(remainingMs, AWAIT_STEP_MS));
      }
    }
    return true;
  }

  private void reindex() {
    if (snapshot.getRevision() != config.revision()) {
      config = Config.of(snapshot.getRevision(), snapshot.getDeclaration(), withdrawn);
    }
  }
}
