package org.marigoldmill.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.core.submission.PartitionState;
import org.marigoldmill.http.HttpAnswer;
import org.marigoldmill.schema.submission.ItemResult;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.batch.SubmissionPartitions;
import org.marigoldmill.server.deployment.CallerProtocol;
import org.marigoldmill.server.store.PartitionReplica;

/** Accepts, shows and ends submissions; any instance can answer for any of them. */
public final class SubmissionService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** A caller comes again at another instance, so it is not kept longer than a slow store takes. */
  private static final long COMMIT_MS = 900;

  private static final long LONGEST_WAIT_MS = 1_000;
  private static final long RETRY_AFTER_MS = 300;

  /** Age up to which a replica counts as fresh; callers expect half as much again at least. */
  private static final long FRESH_MS = 400;

  private static final int PAGE_BYTES = 900_000;

  private final SubmissionPartitions partitions;
  private final CallerProtocol protocol;
  private final int chunkBytes;
  private final Clock clock;

  /**
   * Creates the service.
   *
   * @param chunkBytes largest chunk of items in one record
   */
  public SubmissionService(
      SubmissionPartitions partitions, CallerProtocol protocol, int chunkBytes, Clock clock) {
    this.partitions = partitions;
    this.protocol = protocol;
    this.chunkBytes = chunkBytes;
    this.clock = clock;
  }

  /** Stores a submission, once however often it comes. */
  public HttpAnswer accept(CallerProtocol.ParsedSubmission submitted) {
    Submission head = submitted.submission();
    PartitionReplica replica = partitions.replicaFor(head.getId());
    // A store that is known to be away cannot take it, so the caller hears that at once.
    PartitionReplica.Result result =
        replica.follower().unreachableMs() > 0
            ? PartitionReplica.Result.NOT_DONE
            : commit(replica, s -> s.accept(head, submitted.items(), chunkBytes));
    logger.atInfo().log(
        "submission id=%s organisation=%s model=%s step=%d min_version=%d items=%d outcome=%s",
        head.getId(),
        head.getOrganisation(),
        head.getModel(),
        head.getStep(),
        head.getMinVersion(),
        submitted.items().size(),
        result);
    return answered(result, 202);
  }

  /** Answers a question about a submission. */
  public HttpAnswer answer(CallerProtocol.SubmissionQuery question, String organisation) {
    PartitionReplica replica = partitions.replicaFor(question.submissionId());
    Optional<Submission> found = find(replica, question.submissionId(), organisation);
    if (found.isEmpty()) {
      return protocol.refusal(ErrorKind.NOT_FOUND, 0);
    }
    return switch (question.action()) {
      case READ -> read(replica, found.get(), question);
      case ITEM -> item(replica, question);
      case END -> end(replica, question.submissionId());
    };
  }

  /** Returns a submission; empty only when the store surely holds none for the organisation. */
  private Optional<Submission> find(PartitionReplica replica, String id, String organisation) {
    Optional<Submission> found = settled(replica).submission(id);
    if (found.isEmpty()) {
      if (!replica.follower().catchUp()) {
        throw MarigoldmillException.of(
            ErrorKind.LOG_UNAVAILABLE, "submission " + id + " may be stored");
      }
      found = settled(replica).submission(id);
    }
    return found.filter(s -> s.getOrganisation().equals(organisation));
  }

  private PartitionState settled(PartitionReplica replica) {
    boolean usable = replica.follower().ready() && replica.state().settled();
    if (!usable && !(replica.follower().catchUp() && replica.state().settled())) {
      throw MarigoldmillException.of(ErrorKind.LOG_UNAVAILABLE, "the partition is being read");
    }
    return replica.state();
  }

  private HttpAnswer read(
      PartitionReplica replica, Submission submission, CallerProtocol.SubmissionQuery question) {
    long until = clock.now() + Math.min(LONGEST_WAIT_MS, question.waitMs());
    String id = submission.getId();
    List<ItemResult> results = settled(replica).results(id);
    while (results.size() <= question.after()
        && results.size() < submission.getItemCount()
        && clock.now() < until) {
      partitions.awaitChange(until - clock.now());
      results = settled(replica).results(id);
    }
    boolean more = results.size() < submission.getItemCount();
    if (results.size() <= question.after() && more && !fresh(replica)) {
      throw MarigoldmillException.of(
          ErrorKind.LOG_UNAVAILABLE, "results of " + id + " may be more than " + results.size());
    }
    results = settled(replica).results(id);
    int from = Math.min(question.after(), results.size());
    return protocol.resultPage(
        submission, question.after(), page(results.subList(from, results.size())));
  }

  /** Another instance may have shown more; only a fresh replica may say that there is none. */
  private static boolean fresh(PartitionReplica replica) {
    return replica.follower().ageMs() <= FRESH_MS || replica.follower().catchUp();
  }

  private static List<ItemResult> page(List<ItemResult> results) {
    int bytes = 0;
    int count = 0;
    for (ItemResult result : results) {
      bytes += result.getSerializedSize();
      if (count > 0 && bytes > PAGE_BYTES) {
        break;
      }
      count++;
    }
    return results.subList(0, count);
  }

  private HttpAnswer item(PartitionReplica replica, CallerProtocol.SubmissionQuery question) {
    Optional<RolloutItem> item = item(replica.state(), question);
    if (item.isEmpty()) {
      if (!replica.follower().catchUp()) {
        throw MarigoldmillException.of(
            ErrorKind.LOG_UNAVAILABLE, "item " + question.itemId() + " may be stored");
      }
      item = item(settled(replica), question);
    }
    return item.map(i -> new HttpAnswer(200, List.of(), i.getBody().toByteArray()))
        .orElseGet(() -> protocol.refusal(ErrorKind.NOT_FOUND, 0));
  }

  private static Optional<RolloutItem> item(
      PartitionState state, CallerProtocol.SubmissionQuery question) {
    return state.openItems(question.submissionId()).stream()
        .filter(i -> i.getId().equals(question.itemId()))
        .findFirst();
  }

  private HttpAnswer end(PartitionReplica replica, String id) {
    PartitionReplica.Result result = commit(replica, s -> s.end(id));
    logger.atInfo().log("submission ended id=%s outcome=%s", id, result);
    return answered(result, 200);
  }

  private PartitionReplica.Result commit(PartitionReplica replica, PartitionReplica.Change change) {
    try {
      return replica.commit(change, COMMIT_MS).get(COMMIT_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return PartitionReplica.Result.UNKNOWN;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return PartitionReplica.Result.UNKNOWN;
    } catch (ExecutionException e) {
      throw new IllegalStateException("change of a submission", e.getCause());
    }
  }

  private HttpAnswer answered(PartitionReplica.Result result, int status) {
    return switch (result) {
      case HOLDS -> new HttpAnswer(status, List.of(), new byte[0]);
      case NOT_DONE -> protocol.refusal(ErrorKind.STORE_REFUSED, RETRY_AFTER_MS);
      case UNKNOWN -> protocol.refusal(ErrorKind.STORE_SILENT, RETRY_AFTER_MS);
    };
  }
}
