package org.marigoldmill.server.operator;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.marigoldmill.core.config.DeclarationRules;
import org.marigoldmill.core.membership.MemberTable;
import org.marigoldmill.core.rules.Violation;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.log.Conflict;
import org.marigoldmill.schema.log.KeyWithdrawal;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.operator.PublishOutcome;
import org.marigoldmill.schema.operator.PublishReply;
import org.marigoldmill.schema.peer.MemberEntry;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Pause;
import org.marigoldmill.server.peer.Knowledge;
import org.marigoldmill.server.peer.PeerExchange;
import org.marigoldmill.server.platform.LogAppender;
import org.marigoldmill.server.state.SharedState;

/** Publishes declarations and key withdrawals, and waits until they are in force. */
public final class Publisher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CONFIRM_TIMEOUT_MS = 5_000;
  private static final long IN_FORCE_TIMEOUT_MS = 5_000;
  private static final long POLL_INTERVAL_MS = 20;
  private static final long RETRY_INTERVAL_MS = 1_000;

  private final SharedState state;
  private final LogAppender appender;
  private final PeerExchange exchange;
  private final MemberTable members;
  private final Knowledge knowledge;
  private final Clock clock;

  /** Creates a publisher that appends to the log and notifies the peers of the exchange. */
  public Publisher(
      SharedState state,
      LogAppender appender,
      PeerExchange exchange,
      MemberTable members,
      Knowledge knowledge,
      Clock clock) {
    this.state = state;
    this.appender = appender;
    this.exchange = exchange;
    this.members = members;
    this.knowledge = knowledge;
    this.clock = clock;
  }

  /**
   * Publishes a declaration and waits until the live peers have it in force, for at most 5 s.
   *
   * @param dryRun whether to validate the declaration and its revision without publishing it
   * @return the outcome, with the violations found or the peers that do not have it in force yet
   */
  public PublishReply publish(Declaration declaration, boolean dryRun) {
    List<Violation> violations = DeclarationRules.check(DeclarationRules.withDefaults(declaration));
    if (!violations.isEmpty()) {
      return PublishReply.newBuilder()
          .setOutcome(PublishOutcome.INVALID)
          .addAllMistakes(violations.stream().map(Violation::toString).toList())
          .build();
    }
    long currentRevision = state.snapshot().getRevision();
    if (dryRun) {
      boolean conflict = declaration.getAgainstRevision() != currentRevision;
      return reply(conflict ? PublishOutcome.CONFLICT : PublishOutcome.VALID, 0, currentRevision);
    }
    return appendDeclaration(declaration);
  }

  /**
   * Withdraws API keys: at once in this process, then at the peers, then durably in the log.
   *
   * @param hashes SHA-256 hashes of the keys in hexadecimal digits
   */
  public PublishReply withdraw(List<String> hashes) {
    state.withdraw(hashes);
    exchange.broadcast();
    KeyWithdrawal withdrawal = KeyWithdrawal.newBuilder().addAllSha256(hashes).build();
    boolean durable = appendAndAwait(appender.newRecord().setWithdrawal(withdrawal).build()) > 0;
    return reply(
        durable ? PublishOutcome.IN_FORCE : PublishOutcome.UNKNOWN,
        0,
        state.snapshot().getRevision());
  }

  /** Appends the withdrawals that the log does not have yet; to be called periodically. */
  public void appendMissingWithdrawals() {
    Set<String> missing = state.withdrawnAheadOfLog();
    if (!missing.isEmpty()) {
      appender.submit(
          appender
              .newRecord()
              .setWithdrawal(KeyWithdrawal.newBuilder().addAllSha256(missing))
              .build());
      Pause.millis(RETRY_INTERVAL_MS);
    }
  }

  private PublishReply appendDeclaration(Declaration declaration) {
    long offset = appendAndAwait(appender.newRecord().setDeclaration(declaration).build());
    if (offset <= 0) {
      return reply(PublishOutcome.UNKNOWN, 0, state.snapshot().getRevision());
    }
    boolean conflict =
        state.snapshot().getConflictsList().stream()
            .map(Conflict::getOffset)
            .anyMatch(o -> o == offset);
    if (conflict) {
      return reply(PublishOutcome.CONFLICT, 0, state.snapshot().getRevision());
    }
    logger.atInfo().log("declaration accepted as revision %d", offset);
    List<String> behind = awaitInForce(offset);
    PublishOutcome outcome = behind.isEmpty() ? PublishOutcome.IN_FORCE : PublishOutcome.ACCEPTED;
    return reply(outcome, offset, offset).toBuilder().addAllNotYetInForce(behind).build();
  }

  /** Appends a record and waits until it is read back; returns its offset, or 0 on a timeout. */
  private long appendAndAwait(LogRecord logRecord) {
    try {
      long offset = appender.append(logRecord).get(CONFIRM_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      boolean read =
          state.await(() -> state.snapshot().getNextOffset() > offset, CONFIRM_TIMEOUT_MS);
      return read ? offset : 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    } catch (ExecutionException | TimeoutException e) {
      logger.atInfo().log("append to the log not confirmed: %s", e);
      return 0;
    }
  }

  private List<String> awaitInForce(long revision) {
    long deadlineMs = clock.now() + IN_FORCE_TIMEOUT_MS;
    List<String> behind = membersBehind(revision);
    while (!behind.isEmpty() && clock.now() < deadlineMs) {
      exchange.broadcast();
      Pause.millis(POLL_INTERVAL_MS);
      behind = membersBehind(revision);
    }
    return behind;
  }

  private List<String> membersBehind(long revision) {
    return members.live(clock.now()).stream()
        .map(MemberEntry::getName)
        .filter(n -> !n.equals(members.self().getName()))
        .filter(n -> knowledge.reportedRevision(n) < revision)
        .toList();
  }

  private static PublishReply reply(PublishOutcome outcome, long revision, long currentRevision) {
    return PublishReply.newBuilder()
        .setOutcome(outcome)
        .setRevision(revision)
        .setCurrentRevision(currentRevision)
        .build();
  }
}
