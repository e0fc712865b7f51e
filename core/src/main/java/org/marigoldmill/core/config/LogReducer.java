package org.marigoldmill.core.config;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.marigoldmill.core.usage.Windows;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.log.Conflict;
import org.marigoldmill.schema.log.IntentState;
import org.marigoldmill.schema.log.KeyWithdrawal;
import org.marigoldmill.schema.log.LeaseClaim;
import org.marigoldmill.schema.log.LeaseRelease;
import org.marigoldmill.schema.log.LeaseState;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.log.OrderIntent;
import org.marigoldmill.schema.log.OrderOutcome;
import org.marigoldmill.schema.log.Snapshot;
import org.marigoldmill.schema.log.WindowReported;
import org.marigoldmill.schema.log.WindowSeal;

/**
 * Deterministic reduction of the log, run alike by every process.
 *
 * <pre>{@code
 * Snapshot state = Reduction.empty();
 * state = Reduction.apply(state, offset, logRecord);
 * }</pre>
 */
public final class LogReducer {
  /** Offset of the first record of a log. */
  public static final long FIRST_OFFSET = 1;

  private static final int CONFLICTS_KEPT = 32;
  private static final int SETTLED_INTENTS_KEPT = 64;

  private LogReducer() {}

  /** Returns the state before the first record. */
  public static Snapshot empty() {
    return Snapshot.newBuilder().setNextOffset(FIRST_OFFSET).build();
  }

  /**
   * Applies one record; a record that the state already contains changes nothing.
   *
   * @param state state so far
   * @param offset offset of the record
   * @param logRecord the record
   * @return the state after the record
   * @throws IllegalArgumentException when records between state and offset are missing
   */
  public static Snapshot apply(Snapshot state, long offset, LogRecord logRecord) {
    if (offset < state.getNextOffset()) {
      return state;
    }
    if (offset > state.getNextOffset()) {
      throw new IllegalArgumentException(
          "offset: expected " + state.getNextOffset() + " but was " + offset);
    }
    Snapshot.Builder next = state.toBuilder().setNextOffset(offset + 1);
    switch (logRecord.getBodyCase()) {
      case DECLARATION -> declare(next, offset, logRecord.getDeclaration());
      case WITHDRAWAL -> withdraw(next, logRecord.getWithdrawal());
      case CLAIM -> claim(next, offset, logRecord);
      case RELEASE -> release(next, offset, logRecord.getRelease());
      case INTENT -> intend(next, offset, logRecord.getIntent());
      case OUTCOME -> settle(next, logRecord.getOutcome());
      case SEAL -> seal(next, offset, logRecord.getSeal());
      case REPORTED -> reported(next, logRecord.getReported());
      case SNAPSHOT -> next.setLastSnapshot(offset);
      default -> {
        // The body is of a newer version.
      }
    }
    return next.build();
  }

  /** Returns the lease of a scope, if it was ever claimed. */
  public static Optional<LeaseState> lease(Snapshot state, String scope) {
    return state.getLeasesList().stream().filter(l -> l.getScope().equals(scope)).findFirst();
  }

  /** Returns whether an epoch is the one in charge of a scope. */
  public static boolean isCurrentEpoch(Snapshot state, String scope, long epoch) {
    return lease(state, scope).filter(l -> !l.getReleased() && l.getEpoch() == epoch).isPresent();
  }

  /** Returns the offset of the last accepted intent of a scope, or 0. */
  public static long lastIntentOffset(Snapshot state, String scope) {
    return state.getIntentsList().stream()
        .filter(i -> i.getIntent().getScope().equals(scope))
        .mapToLong(IntentState::getOffset)
        .max()
        .orElse(0);
  }

  private static void declare(Snapshot.Builder next, long offset, Declaration declaration) {
    if (declaration.getAgainstRevision() != next.getRevision()) {
      keepLast(next.getConflictsList(), CONFLICTS_KEPT - 1, next.clearConflicts()::addAllConflicts);
      next.addConflicts(
          Conflict.newBuilder()
              .setOffset(offset)
              .setAgainstRevision(declaration.getAgainstRevision())
              .setCurrentRevision(next.getRevision()));
      return;
    }
    next.setRevision(offset).setDeclaration(declaration);
  }

  private static void withdraw(Snapshot.Builder next, KeyWithdrawal withdrawal) {
    TreeSet<String> all = new TreeSet<>(next.getWithdrawnList());
    all.addAll(withdrawal.getSha256List());
    next.clearWithdrawn().addAllWithdrawn(all);
  }

  private static void claim(Snapshot.Builder next, long offset, LogRecord logRecord) {
    LeaseClaim claim = logRecord.getClaim();
    Optional<LeaseState> held = lease(next.buildPartial(), claim.getScope());
    if (claim.getObservedOffset() != held.map(LeaseState::getLastOffset).orElse(0L)) {
      return;
    }
    boolean renewal =
        held.filter(l -> !l.getReleased() && l.getHolder().equals(claim.getHolder())).isPresent();
    LeaseState lease =
        LeaseState.newBuilder()
            .setScope(claim.getScope())
            .setHolder(claim.getHolder())
            .setEpoch(renewal ? held.get().getEpoch() : offset)
            .setLastOffset(offset)
            .setLastAppendId(logRecord.getAppendId())
            .setTtlMs(claim.getTtlMs())
            .build();
    replaceLease(next, lease);
  }

  private static void release(Snapshot.Builder next, long offset, LeaseRelease release) {
    lease(next.buildPartial(), release.getScope())
        .filter(l -> l.getHolder().equals(release.getHolder()))
        .filter(l -> l.getEpoch() == release.getEpoch())
        .map(l -> l.toBuilder().setReleased(true).setLastOffset(offset).build())
        .ifPresent(l -> replaceLease(next, l));
  }

  private static void intend(Snapshot.Builder next, long offset, OrderIntent intent) {
    boolean current =
        lastIntentOffset(next.buildPartial(), intent.getScope()) == intent.getObservedOffset();
    if (!current || !isCurrentEpoch(next.buildPartial(), intent.getScope(), intent.getEpoch())) {
      return;
    }
    next.addIntents(IntentState.newBuilder().setOffset(offset).setIntent(intent));
  }

  private static void settle(Snapshot.Builder next, OrderOutcome outcome) {
    List<IntentState> intents =
        next.getIntentsList().stream()
            .map(i -> i.getOffset() == outcome.getIntentOffset() ? settled(i, outcome) : i)
            .toList();
    long done = intents.stream().filter(IntentState::hasOutcome).count();
    List<IntentState> kept =
        intents.stream().filter(olderThan(intents, done - SETTLED_INTENTS_KEPT).negate()).toList();
    next.clearIntents().addAllIntents(kept);
  }

  private static IntentState settled(IntentState intent, OrderOutcome outcome) {
    return intent.hasOutcome() ? intent : intent.toBuilder().setOutcome(outcome).build();
  }

  private static Predicate<IntentState> olderThan(List<IntentState> intents, long surplus) {
    long limit =
        intents.stream()
            .filter(IntentState::hasOutcome)
            .map(IntentState::getOffset)
            .sorted()
            .skip(Math.max(0, surplus))
            .findFirst()
            .orElse(0L);
    return i -> i.hasOutcome() && i.getOffset() < limit;
  }

  private static void seal(Snapshot.Builder next, long offset, WindowSeal seal) {
    if (isCurrentEpoch(next.buildPartial(), seal.getScope(), seal.getEpoch())) {
      Windows.seal(next, offset, seal);
    }
  }

  private static void reported(Snapshot.Builder next, WindowReported reported) {
    Windows.markReported(next, reported.getScope(), reported.getWindow());
  }

  private static void replaceLease(Snapshot.Builder next, LeaseState lease) {
    List<LeaseState> others =
        next.getLeasesList().stream().filter(l -> !l.getScope().equals(lease.getScope())).toList();
    next.clearLeases().addAllLeases(others).addLeases(lease);
  }

  private static <T> void keepLast(List<T> all, int limit, Consumer<List<T>> store) {
    store.accept(List.copyOf(all.subList(Math.max(0, all.size() - limit), all.size())));
  }
}
