package org.marigoldmill.server.rollout;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.server.Clock;
import org.marigoldmill.server.Metrics;
import org.marigoldmill.server.state.EngineWatch;
import org.marigoldmill.server.state.SharedState;
import org.marigoldmill.server.usage.UsageLedger;

/** Creates the runners of jobs. */
public final class RolloutFactory implements AutoCloseable {
  private final String owner;
  private final Engines engines;
  private final UsageLedger ledger;
  private final Metrics metrics;
  private final Clock clock;
  private final ExecutorService threads = Executors.newCachedThreadPool();

  /** Creates a factory for one process. */
  public RolloutFactory(
      String owner,
      String zone,
      UpstreamTable upstreams,
      EngineWatch watch,
      HttpClient client,
      SharedState state,
      UsageLedger ledger,
      Metrics metrics,
      Clock clock) {
    this.owner = owner;
    this.engines = new Engines(upstreams, watch, client, state, threads, clock, zone);
    this.ledger = ledger;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Starts a runner for a job. */
  public JobRunner start(Job job, JobRunner.Replicator replicator) {
    return new JobRunner(job, owner, engines, replicator, ledger, metrics, clock);
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }
}
