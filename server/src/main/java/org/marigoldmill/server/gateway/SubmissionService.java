package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.submission.PartitionState;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.batch.SubmissionPartitions;
import org.marigoldmill.server.deployment.CallerProtocol;
import org.marigoldmill.server.store.PartitionReplica;

/** Accepts, reads and ends submissions; any instance can answer for any submission. */
public final class SubmissionService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Bounds the wait for a slow append, since callers retry at another instance. */
  private static final long COMMIT_TIMEOUT_MS = 900;

  private static final long MAX_WAIT_MS = 1_000;
  private static final long RETRY_AFTER_MS = 300;

  /** Age up to which a replica is fresh; callers tolerate at least 1.5 times this staleness. */
  private static final long MAX_REPLICA_AGE_MS = 400;

  private static final int MAX_PAGE_BYTES = 900_000;

  private final SubmissionPartitions partitions;
  private final CallerProtocol protocol;
  private final int chunkBytes;
  private final BooleanSupplier storeLost;
  private final Consumer<Submission> onAccepted;
  private final Clock clock;

  /**
   * Creates the service.
   *
   * @param chunkBytes largest size of the items in one record, in bytes
   * @param storeLost tells whether the store is known not to answer
   * @param onAccepted receives each submission that is stored
   */
  public SubmissionService(
      SubmissionPartitions partitions,
      CallerProtocol protocol,
      int chunkBytes,
      BooleanSupplier storeLost,
      Consumer<Submission> onAccepted,
      Clock clock) {
    this.partitions = partitions;
    this.protocol = protocol;
    this.chunkBytes = chunkBytes;
    this.storeLost = storeLost;
    this.onAccepted = onAccepted;
    this.clock = clock;
  }

  /** Stores a submission; idempotent. */
  public HttpResponse accept(CallerProtocol.ParsedSubmission submitted) {
    Submission submission = submitted.submission();
    PartitionReplica replica = partitions.replicaFor(submission.getId());
    // Fails fast while the store is known to be unreachable.
    PartitionReplica.Result result =
        storeLost.getAsBoolean() || replica.unreachable()
            ? PartitionReplica.Result.NOT_DONE
            : commit(replica, s -> s.acceptanceRecords(submission, submitted.items(), chunkBytes));
    logger.atInfo().log(
        "submission id=%s organisation=%s model=%s step=%d min_version=%d items=%d outcome=%s",
        submission.getId(),
        submission.getOrganisation(),
        submission.getModel(),
        submission.getStep(),
        submission.getMinVersion(),
        submitted.items().size(),
        result);
    if (result == PartitionReplica.Result.HOLDS) {
      onAccepted.accept(submission);
    }
    return toResponse(result, 202);
  }

  /**
   * Returns the response to a request that reads or ends a submission, or empty if the organisation
   * has no such submission or item.
   */
  public Optional<HttpResponse> respond(
      CallerProtocol.SubmissionQuery question, String organisation) {
    PartitionReplica replica = partitions.replicaFor(question.submission());
    Optional<Submission> found = findSubmission(replica, question.submission(), organisation);
    if (found.isEmpty()) {
      return Optional.empty();
    }
    return switch (question.action()) {
      case READ -> Optional.of(readResults(replica, found.get(), question));
      case ITEM -> itemBody(replica, question);
      case END -> Optional.of(endSubmission(replica, question.submission()));
    };
  }

  /** Returns a submission; empty only if the store certainly has none for the organisation. */
  private Optional<Submission> findSubmission(
      PartitionReplica replica, String id, String organisation) {
    boolean caughtUp = !replica.current() && catchUp(replica);
    Optional<Submission> submission = settledState(replica).submission(id);
    if (submission.isEmpty() && !caughtUp) {
      if (!catchUp(replica)) {
        throw MarigoldmillException.of(
            ErrorKind.LOG_UNAVAILABLE,
            "partition of submission " + id + " could not be read to its end");
      }
      submission = settledState(replica).submission(id);
    }
    return submission.filter(s -> s.getOrganisation().equals(organisation));
  }

  private PartitionState settledState(PartitionReplica replica) {
    boolean usable = replica.follower().ready() && replica.state().contiguous();
    if (!usable && !(catchUp(replica) && replica.state().contiguous())) {
      throw MarigoldmillException.of(
          ErrorKind.LOG_UNAVAILABLE, "partition has not been loaded yet");
    }
    return replica.state();
  }

  private HttpResponse readResults(
      PartitionReplica replica, Submission submission, CallerProtocol.SubmissionQuery question) {
    long untilMs = clock.now() + Math.min(MAX_WAIT_MS, question.waitMs());
    String id = submission.getId();
    long changeCount = partitions.changeCount();
    List<ItemResult> results = settledState(replica).results(id);
    while (results.size() <= question.after()
        && results.size() < submission.getItemCount()
        && clock.now() < untilMs) {
      replica.followUntil(untilMs);
      partitions.awaitChange(changeCount, untilMs - clock.now());
      changeCount = partitions.changeCount();
      results = settledState(replica).results(id);
    }
    boolean more = results.size() < submission.getItemCount();
    if (results.size() <= question.after() && more && !isFresh(replica)) {
      throw MarigoldmillException.of(
          ErrorKind.LOG_UNAVAILABLE,
          "submission " + id + " may have more than " + results.size() + " results");
    }
    results = settledState(replica).results(id);
    int from = Math.min(question.after(), results.size());
    return protocol.resultPage(
        submission, question.after(), firstPage(results.subList(from, results.size())));
  }

  /** Other instances may have shown more results, so only a fresh replica may report none. */
  private boolean isFresh(PartitionReplica replica) {
    return replica.follower().ageMs() <= MAX_REPLICA_AGE_MS || catchUp(replica);
  }

  /** Reads the partition to its end, unless the store is known not to answer. */
  private boolean catchUp(PartitionReplica replica) {
    return !storeLost.getAsBoolean() && replica.follower().catchUp();
  }

  private static List<ItemResult> firstPage(List<ItemResult> results) {
    int bytes = 0;
    int count = 0;
    for (ItemResult result : results) {
      bytes += result.getSerializedSize();
      if (count > 0 && bytes > MAX_PAGE_BYTES) {
        break;
      }
      count++;
    }
    return results.subList(0, count);
  }

  private Optional<HttpResponse> itemBody(
      PartitionReplica replica, CallerProtocol.SubmissionQuery question) {
    Optional<RolloutItem> item = item(replica.state(), question);
    // A replica at rest may not know yet that the item is listed or its submission ended.
    boolean usable = item.isPresent() && (replica.current() || isFresh(replica));
    if (!usable) {
      if (!catchUp(replica)) {
        throw MarigoldmillException.of(
            ErrorKind.LOG_UNAVAILABLE,
            "partition of item " + question.item() + " could not be read to its end");
      }
      item = item(settledState(replica), question);
    }
    return item.map(i -> new HttpResponse(200, List.of(), i.getBody().toByteArray()));
  }

  private static Optional<RolloutItem> item(
      PartitionState state, CallerProtocol.SubmissionQuery question) {
    return state.openItems(question.submission()).stream()
        .filter(i -> i.getId().equals(question.item()))
        .findFirst();
  }

  private HttpResponse endSubmission(PartitionReplica replica, String id) {
    PartitionReplica.Result result = commit(replica, s -> s.endRecords(id));
    logger.atInfo().log("submission ended id=%s outcome=%s", id, result);
    return toResponse(result, 200);
  }

  private PartitionReplica.Result commit(PartitionReplica replica, PartitionReplica.Change change) {
    try {
      return replica
          .commit(change, COMMIT_TIMEOUT_MS)
          .get(COMMIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return PartitionReplica.Result.UNKNOWN;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return PartitionReplica.Result.UNKNOWN;
    } catch (ExecutionException e) {
      throw new IllegalStateException("submission change failed", e.getCause());
    }
  }

  private HttpResponse toResponse(PartitionReplica.Result result, int status) {
    return switch (result) {
      case HOLDS -> new HttpResponse(status, List.of(), new byte[0]);
      case NOT_DONE -> protocol.errorResponse(ErrorKind.STORE_REFUSED, RETRY_AFTER_MS);
      case UNKNOWN -> protocol.errorResponse(ErrorKind.STORE_SILENT, RETRY_AFTER_MS);
    };
  }
}
