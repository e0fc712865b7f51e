package org.marigoldmill.standin;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.schema.platform.AppendReply;
import org.marigoldmill.schema.platform.ReadReply;
import org.marigoldmill.schema.platform.StoredRecord;
import org.marigoldmill.schema.settings.StandinSettings;

/** Fake of the platform's append-only log: {@code POST /append}, {@code GET /records}. */
public final class LogStandin implements Standin {
  private static final int WORKERS = 64;
  private static final int MAX_RECORDS_PER_READ = 500;

  private final List<StoredRecord> records = new ArrayList<>();
  private final long retentionRecords;
  private final HttpServer server;
  private long firstOffset = 1;
  private long nextOffset = 1;

  private LogStandin(StandinSettings settings, Runnable crash) {
    this.retentionRecords = settings.getRetentionRecords();
    Faults faults = new Faults(crash);
    this.server =
        faults
            .installRoute(HttpServer.forAddress(settings.getAddress()))
            .workerThreads(WORKERS)
            .post("/append", faults.wrap(this::append))
            .get("/records", faults.wrap(this::read))
            .start();
  }

  /** Starts the server; an injected crash fault runs {@code crash}. */
  public static LogStandin start(StandinSettings settings, Runnable crash) {
    return new LogStandin(settings, crash);
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private synchronized HttpResponse append(Request request) {
    long offset = nextOffset++;
    records.add(
        StoredRecord.newBuilder()
            .setOffset(offset)
            .setBody(ByteString.copyFrom(request.body()))
            .build());
    while (records.size() > retentionRecords) {
      records.remove(0);
      firstOffset++;
    }
    notifyAll();
    return HttpResponse.json(AppendReply.newBuilder().setOffset(offset).build());
  }

  private synchronized HttpResponse read(Request request) {
    long from = request.queryLong("from", 1);
    awaitOffset(from, request.queryLong("wait_ms", 0));
    ReadReply.Builder reply =
        ReadReply.newBuilder().setFirstOffset(firstOffset).setNextOffset(nextOffset);
    int skipped = (int) Math.max(0, from - firstOffset);
    records.stream().skip(skipped).limit(MAX_RECORDS_PER_READ).forEach(reply::addRecords);
    return HttpResponse.json(reply.build());
  }

  private synchronized void awaitOffset(long offset, long waitMs) {
    long until = System.nanoTime() / 1_000_000 + waitMs;
    try {
      while (offset >= nextOffset) {
        long left = until - System.nanoTime() / 1_000_000;
        if (left <= 0) {
          return;
        }
        wait(left);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
