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

/** HTTP client for the platform; unsuccessful statuses throw {@link PlatformResponseException}. */
public final class PlatformClient {
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long RESPONSE_TIMEOUT_MS = 3_000;

  private final HttpClient client;
  private final PlatformSettings addresses;

  /** Creates a client for the given platform addresses. */
  public PlatformClient(HttpClient client, PlatformSettings addresses) {
    this.client = client;
    this.addresses = addresses;
  }

  /** Appends a record to the log and returns its offset. */
  public long append(LogRecord logRecord) {
    HttpCall call = HttpCall.post(addresses.getLog(), "/append", logRecord.toByteArray());
    return send(call, RESPONSE_TIMEOUT_MS).message(AppendReply.getDefaultInstance()).getOffset();
  }

  /** Reads records from an offset, waiting up to {@code waitMs} for new ones. */
  public ReadReply read(long from, long waitMs) {
    String path = "/records?from=%d&wait_ms=%d".formatted(from, waitMs);
    return send(HttpCall.get(addresses.getLog(), path), RESPONSE_TIMEOUT_MS + waitMs)
        .message(ReadReply.getDefaultInstance());
  }

  /** Reads the instance list. */
  public List<PlatformInstance> instances() {
    return send(HttpCall.get(addresses.getInstances(), "/instances"), RESPONSE_TIMEOUT_MS)
        .message(InstanceList.getDefaultInstance())
        .getInstancesList();
  }

  /** Lists the orders that the platform has accepted. */
  public OrderList orders() {
    return send(HttpCall.get(addresses.getOrdering(), "/orders"), RESPONSE_TIMEOUT_MS)
        .message(OrderList.getDefaultInstance());
  }

  /**
   * Sends an order.
   *
   * @param request the order
   * @param limitMs time-out of the whole exchange, in milliseconds
   * @param gate runs immediately before the request is written and throws to prevent it
   * @return the platform's reply
   */
  public OrderReply order(OrderRequest request, long limitMs, Runnable gate) {
    return sendGated(addresses.getOrdering(), "/orders", ProtoJson.bytes(request), limitMs, gate)
        .message(OrderReply.getDefaultInstance());
  }

  /** Sends a usage report; the parameters are those of {@link #order}. */
  public ReportReply report(UsageReport report, long limitMs, Runnable gate) {
    return sendGated(addresses.getBilling(), "/reports", ProtoJson.bytes(report), limitMs, gate)
        .message(ReportReply.getDefaultInstance());
  }

  private HttpResponse sendGated(
      String address, String path, byte[] body, long limitMs, Runnable gate) {
    HttpCall call =
        HttpCall.post(address, path, body)
            .timeouts(limitMs, limitMs, limitMs)
            .onFreshConnection()
            .gate(gate);
    return exchange(call);
  }

  private HttpResponse send(HttpCall call, long timeoutMs) {
    return exchange(call.timeouts(CONNECT_TIMEOUT_MS, timeoutMs, timeoutMs));
  }

  private HttpResponse exchange(HttpCall call) {
    HttpResponse response = client.exchange(call);
    if (!response.successful()) {
      throw new PlatformResponseException(call.path(), response.status());
    }
    return response;
  }
}
