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

/** The reduced log and the withdrawals learnt ahead of it; readers never block. */
public final class SharedState {
  private static final long AWAIT_STEP_MS = 200;

  private final Object monitor = new Object();
  private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<Set<String>>> withdrawalListeners = new CopyOnWriteArrayList<>();
  private volatile Snapshot snapshot = LogReducer.empty();
  private volatile Set<String> withdrawn = Set.of();
  private volatile Config config = Config.of(0, snapshot.getDeclaration(), Set.of());

  /** Returns the reduced log. */
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

  /** Returns the withdrawn hashes that the reduced log does not hold yet. */
  public Set<String> withdrawnAheadOfLog() {
    Set<String> ahead = new TreeSet<>(withdrawn);
    ahead.removeAll(snapshot.getWithdrawnList());
    return ahead;
  }

  /** Calls a listener after each advance of the log, on the advancing thread. */
  public void onAdvance(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /** Calls a listener with the hashes of keys that have just ceased to work. */
  public void onWithdrawal(Consumer<Set<String>> listener) {
    withdrawalListeners.add(listener);
  }

  /** Takes in a later state; an earlier one is ignored. */
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

  /** Takes in withdrawals; a withdrawal is never undone. */
  public void withdraw(List<String> hashes) {
    Set<String> fresh = new TreeSet<>(hashes);
    synchronized (monitor) {
      fresh.removeAll(withdrawn);
      if (fresh.isEmpty()) {
        return;
      }
      Set<String> all = new HashSet<>(withdrawn);
      all.addAll(fresh);
      withdrawn = Set.copyOf(all);
      config = Config.of(snapshot.getRevision(), snapshot.getDeclaration(), withdrawn);
    }
    withdrawalListeners.forEach(l -> l.accept(fresh));
  }

  /** Waits until a condition on the state holds, at most so many milliseconds. */
  public boolean await(BooleanSupplier condition, long waitMs) throws InterruptedException {
    long until = System.nanoTime() / 1_000_000 + waitMs;
    synchronized (monitor) {
      while (!condition.getAsBoolean()) {
        long left = until - System.nanoTime() / 1_000_000;
        if (left <= 0) {
          return false;
        }
        monitor.wait(Math.min(left, AWAIT_STEP_MS));
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
