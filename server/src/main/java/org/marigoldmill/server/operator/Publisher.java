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

/** Publishes declarations and withdrawals, and waits until they are in force. */
public final class Publisher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long CONFIRM_MS = 5_000;
  private static final long IN_FORCE_MS = 5_000;
  private static final long POLL_MS = 20;
  private static final long RETRY_MS = 1_000;

  private final SharedState state;
  private final LogAppender appender;
  private final PeerExchange exchange;
  private final MemberTable members;
  private final Knowledge knowledge;
  private final Clock clock;

  /** Creates a publisher. */
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

  /** Publishes a declaration, or only checks it. */
  public PublishReply publish(Declaration declaration, boolean dryRun) {
    List<Violation> mistakes = DeclarationRules.check(DeclarationRules.withDefaults(declaration));
    if (!mistakes.isEmpty()) {
      return PublishReply.newBuilder()
          .setOutcome(PublishOutcome.INVALID)
          .addAllMistakes(mistakes.stream().map(Violation::toString).toList())
          .build();
    }
    long current = state.snapshot().getRevision();
    if (dryRun) {
      boolean conflict = declaration.getAgainstRevision() != current;
      return reply(conflict ? PublishOutcome.CONFLICT : PublishOutcome.VALID, 0, current);
    }
    return append(declaration);
  }

  /** Withdraws keys: here at once, at the peers next, and in the log for good. */
  public PublishReply withdraw(List<String> hashes) {
    state.withdraw(hashes);
    exchange.broadcast();
    KeyWithdrawal withdrawal = KeyWithdrawal.newBuilder().addAllSha256(hashes).build();
    boolean durable = confirm(appender.newRecord().setWithdrawal(withdrawal).build()) > 0;
    return reply(
        durable ? PublishOutcome.IN_FORCE : PublishOutcome.UNKNOWN,
        0,
        state.snapshot().getRevision());
  }

  /** Appends the withdrawals that the log lacks; called on a timer. */
  public void runRound() {
    Set<String> missing = state.withdrawnAheadOfLog();
    if (!missing.isEmpty()) {
      appender.submit(
          appender
              .newRecord()
              .setWithdrawal(KeyWithdrawal.newBuilder().addAllSha256(missing))
              .build());
      Pause.millis(RETRY_MS);
    }
  }

  private PublishReply append(Declaration declaration) {
    long offset = confirm(appender.newRecord().setDeclaration(declaration).build());
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
    logger.atInfo().log("revision %d is accepted", offset);
    List<String> behind = awaitInForce(offset);
    PublishOutcome outcome = behind.isEmpty() ? PublishOutcome.IN_FORCE : PublishOutcome.ACCEPTED;
    return reply(outcome, offset, offset).toBuilder().addAllNotYetInForce(behind).build();
  }

  /** Appends a record and waits until this process has read past it. */
  private long confirm(LogRecord logRecord) {
    try {
      long offset = appender.append(logRecord).get(CONFIRM_MS, TimeUnit.MILLISECONDS);
      boolean read = state.await(() -> state.snapshot().getNextOffset() > offset, CONFIRM_MS);
      return read ? offset : 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    } catch (ExecutionException | TimeoutException e) {
      logger.atInfo().log("the log did not confirm: %s", e.getMessage());
      return 0;
    }
  }

  private List<String> awaitInForce(long revision) {
    long until = clock.now() + IN_FORCE_MS;
    List<String> behind = behind(revision);
    while (!behind.isEmpty() && clock.now() < until) {
      exchange.broadcast();
      Pause.millis(POLL_MS);
      behind = behind(revision);
    }
    return behind;
  }

  private List<String> behind(long revision) {
    return members.live(clock.now()).stream()
        .map(MemberEntry::getName)
        .filter(n -> !n.equals(members.self().getName()))
        .filter(n -> knowledge.reportedRevision(n) < revision)
        .toList();
  }

  private static PublishReply reply(PublishOutcome outcome, long revision, long current) {
    return PublishReply.newBuilder()
        .setOutcome(outcome)
        .setRevision(revision)
        .setCurrentRevision(current)
        .build();
  }
}
