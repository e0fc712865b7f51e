package org.marigoldmill.core.config;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.marigoldmill.core.usage.UsageWindows;
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
 * Deterministic reducer of the log; every process derives the same state from the same records.
 *
 * <pre>{@code
 * Snapshot state = LogReducer.empty();
 * state = LogReducer.apply(state, offset, logRecord);
 * }</pre>
 */
public final class LogReducer {
  /** Offset of the first record of the log. */
  public static final long FIRST_OFFSET = 1;

  private static final int MAX_CONFLICTS = 32;
  private static final int MAX_SETTLED_INTENTS = 64;

  private LogReducer() {}

  /** Returns the state before the first record. */
  public static Snapshot empty() {
    return Snapshot.newBuilder().setNextOffset(FIRST_OFFSET).build();
  }

  /**
   * Applies a record; a record that the state already includes has no effect.
   *
   * @param state state before the record
   * @param offset offset of the record in the log
   * @param logRecord the record
   * @return the state after the record
   * @throws IllegalArgumentException if {@code offset} is beyond the next offset of the state
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
      case DECLARATION -> applyDeclaration(next, offset, logRecord.getDeclaration());
      case WITHDRAWAL -> applyWithdrawal(next, logRecord.getWithdrawal());
      case CLAIM -> applyClaim(next, offset, logRecord);
      case RELEASE -> applyRelease(next, offset, logRecord.getRelease());
      case INTENT -> applyIntent(next, offset, logRecord.getIntent());
      case OUTCOME -> applyOutcome(next, logRecord.getOutcome());
      case SEAL -> applySeal(next, offset, logRecord.getSeal());
      case REPORTED -> applyWindowReported(next, logRecord.getReported());
      case SNAPSHOT -> next.setLastSnapshot(offset);
      default -> {
        // Records of types that only newer versions know are skipped.
      }
    }
    return next.build();
  }

  /** Returns the lease of a scope, or empty if it was never claimed. */
  public static Optional<LeaseState> lease(Snapshot state, String scope) {
    return state.getLeasesList().stream().filter(l -> l.getScope().equals(scope)).findFirst();
  }

  /** Returns whether an epoch is that of the current, unreleased lease of a scope. */
  public static boolean isCurrentEpoch(Snapshot state, String scope, long epoch) {
    return lease(state, scope).filter(l -> !l.getReleased() && l.getEpoch() == epoch).isPresent();
  }

  /** Returns the offset of the last accepted order intent of a scope, or 0 if there is none. */
  public static long lastIntentOffset(Snapshot state, String scope) {
    return state.getIntentsList().stream()
        .filter(i -> i.getIntent().getScope().equals(scope))
        .mapToLong(IntentState::getOffset)
        .max()
        .orElse(0);
  }

  private static void applyDeclaration(
      Snapshot.Builder next, long offset, Declaration declaration) {
    if (declaration.getAgainstRevision() != next.getRevision()) {
      keepLast(next.getConflictsList(), MAX_CONFLICTS - 1, next.clearConflicts()::addAllConflicts);
      next.addConflicts(
          Conflict.newBuilder()
              .setOffset(offset)
              .setAgainstRevision(declaration.getAgainstRevision())
              .setCurrentRevision(next.getRevision()));
      return;
    }
    next.setRevision(offset).setDeclaration(declaration);
  }

  private static void applyWithdrawal(Snapshot.Builder next, KeyWithdrawal withdrawal) {
    TreeSet<String> all = new TreeSet<>(next.getWithdrawnList());
    all.addAll(withdrawal.getSha256List());
    next.clearWithdrawn().addAllWithdrawn(all);
  }

  private static void applyClaim(Snapshot.Builder next, long offset, LogRecord logRecord) {
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

  private static void applyRelease(Snapshot.Builder next, long offset, LeaseRelease release) {
    lease(next.buildPartial(), release.getScope())
        .filter(l -> l.getHolder().equals(release.getHolder()))
        .filter(l -> l.getEpoch() == release.getEpoch())
        .map(l -> l.toBuilder().setReleased(true).setLastOffset(offset).build())
        .ifPresent(l -> replaceLease(next, l));
  }

  private static void applyIntent(Snapshot.Builder next, long offset, OrderIntent intent) {
    boolean upToDate =
        lastIntentOffset(next.buildPartial(), intent.getScope()) == intent.getObservedOffset();
    if (!upToDate || !isCurrentEpoch(next.buildPartial(), intent.getScope(), intent.getEpoch())) {
      return;
    }
    next.addIntents(IntentState.newBuilder().setOffset(offset).setIntent(intent));
  }

  private static void applyOutcome(Snapshot.Builder next, OrderOutcome outcome) {
    List<IntentState> intents =
        next.getIntentsList().stream()
            .map(i -> i.getOffset() == outcome.getIntentOffset() ? withOutcome(i, outcome) : i)
            .toList();
    long settledCount = intents.stream().filter(IntentState::hasOutcome).count();
    List<IntentState> kept =
        intents.stream()
            .filter(isAmongOldestSettled(intents, settledCount - MAX_SETTLED_INTENTS).negate())
            .toList();
    next.clearIntents().addAllIntents(kept);
  }

  private static IntentState withOutcome(IntentState intent, OrderOutcome outcome) {
    return intent.hasOutcome() ? intent : intent.toBuilder().setOutcome(outcome).build();
  }

  private static Predicate<IntentState> isAmongOldestSettled(
      List<IntentState> intents, long surplus) {
    long firstKeptOffset =
        intents.stream()
            .filter(IntentState::hasOutcome)
            .map(IntentState::getOffset)
            .sorted()
            .skip(Math.max(0, surplus))
            .findFirst()
            .orElse(0L);
    return i -> i.hasOutcome() && i.getOffset() < firstKeptOffset;
  }

  private static void applySeal(Snapshot.Builder next, long offset, WindowSeal seal) {
    if (isCurrentEpoch(next.buildPartial(), seal.getScope(), seal.getEpoch())) {
      UsageWindows.seal(next, offset, seal);
    }
  }

  private static void applyWindowReported(Snapshot.Builder next, WindowReported reported) {
    UsageWindows.markReported(next, reported.getScope(), reported.getWindow());
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
