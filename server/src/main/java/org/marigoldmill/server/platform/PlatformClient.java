package org.marigoldmill.server.platform;

import java.util.List;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.log.LogRecord;
import org.marigoldmill.schema.platform.AppendReply;
import org.marigoldmill.schema.platform.InstanceList;
import org.marigoldmill.schema.platform.OrderList;
import org.marigoldmill.schema.platform.OrderReply;
import org.marigoldmill.schema.platform.OrderRequest;
import org.marigoldmill.schema.platform.PlatformInstance;
import org.marigoldmill.schema.platform.ReadReply;
import org.marigoldmill.schema.platform.ReportReply;
import org.marigoldmill.schema.platform.UsageReport;
import org.marigoldmill.schema.settings.PlatformSettings;

/** Calls to the platform; each throws {@link PlatformDown} when no good answer came. */
public final class PlatformClient {
  private static final long CONNECT_MS = 1_000;
  private static final long ANSWER_MS = 3_000;

  private final HttpClient client;
  private final PlatformSettings addresses;

  /** Creates a client of the platform at some addresses. */
  public PlatformClient(HttpClient client, PlatformSettings addresses) {
    this.client = client;
    this.addresses = addresses;
  }

  /** Appends a record to the log and returns its offset. */
  public long append(LogRecord logRecord) {
    HttpCall call = HttpCall.post(addresses.getLog(), "/append", logRecord.toByteArray());
    return send(call, ANSWER_MS).message(AppendReply.getDefaultInstance()).getOffset();
  }

  /** Reads records from an offset, waiting a while for new ones. */
  public ReadReply read(long from, long waitMs) {
    String path = "/records?from=%d&wait_ms=%d".formatted(from, waitMs);
    return send(HttpCall.get(addresses.getLog(), path), ANSWER_MS + waitMs)
        .message(ReadReply.getDefaultInstance());
  }

  /** Reads the instance list. */
  public List<PlatformInstance> instances() {
    return send(HttpCall.get(addresses.getInstances(), "/instances"), ANSWER_MS)
        .message(InstanceList.getDefaultInstance())
        .getInstancesList();
  }

  /** Lists the orders that the platform has accepted. */
  public OrderList orders() {
    return send(HttpCall.get(addresses.getOrdering(), "/orders"), ANSWER_MS)
        .message(OrderList.getDefaultInstance());
  }

  /**
   * Sends an order.
   *
   * @param request the order
   * @param limitMs longest time that the send may take, in milliseconds
   * @param gate runs immediately before the bytes leave and throws to stop them
   * @return the platform's answer
   */
  public OrderReply order(OrderRequest request, long limitMs, Runnable gate) {
    return gated(addresses.getOrdering(), "/orders", ProtoJson.bytes(request), limitMs, gate)
        .message(OrderReply.getDefaultInstance());
  }

  /** Sends a usage report through a gate. */
  public ReportReply report(UsageReport report, long limitMs, Runnable gate) {
    return gated(addresses.getBilling(), "/reports", ProtoJson.bytes(report), limitMs, gate)
        .message(ReportReply.getDefaultInstance());
  }

  private HttpResponse gated(
      String address, String path, byte[] body, long limitMs, Runnable gate) {
    HttpCall call =
        HttpCall.post(address, path, body)
            .timeouts(limitMs, limitMs, limitMs)
            .onFreshConnection()
            .gate(gate);
    return checked(call);
  }

  private HttpResponse send(HttpCall call, long wholeMs) {
    return checked(call.timeouts(CONNECT_MS, wholeMs, wholeMs));
  }

  private HttpResponse checked(HttpCall call) {
    HttpResponse answer = client.exchange(call);
    if (!answer.successful()) {
      throw new PlatformDown(call.path(), answer.status());
    }
    return answer;
  }
}
