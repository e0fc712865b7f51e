package org.marigoldmill.server.rollout;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.core.error.MarigoldmillException;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.declaration.Job;
import org.marigoldmill.schema.upstream.DrawReply;
import org.marigoldmill.schema.upstream.DrawRequest;
import org.marigoldmill.server.call.Refusal;

/** Handles trainers' draws over HTTP. */
public final class DrawHandler implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int THREADS = 32;

  private final JobDirectory jobs;
  private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

  /** Creates a handler that takes groups from the directory of jobs. */
  public DrawHandler(JobDirectory jobs) {
    this.jobs = jobs;
  }

  /** Dispatches a draw to a worker thread. */
  public void accept(HttpServerExchange exchange, Job job, byte[] body) {
    exchange.dispatch(threads, () -> respond(exchange, job, body));
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }

  private void respond(HttpServerExchange exchange, Job job, byte[] body) {
    try {
      DrawRequest draw = ProtoJson.parse(body, DrawRequest.getDefaultInstance());
      DrawReply reply = jobs.draw(draw.toBuilder().setJob(job.getName()).build());
      HttpServer.send(exchange, HttpResponse.json(reply));
    } catch (MarigoldmillException e) {
      Refusal.send(exchange, e.kind(), "", 0);
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log(
          "draw of job %s failed, answering with an internal error", job.getName());
      Refusal.send(exchange, ErrorKind.INTERNAL, "", 0);
    }
  }
}
