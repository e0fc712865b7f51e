package org.marigoldmill.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.marigoldmill.http.HttpCall;
import org.marigoldmill.http.HttpClient;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.platform.OrderList;
import org.marigoldmill.schema.platform.OrderReply;
import org.marigoldmill.schema.platform.OrderRequest;
import org.marigoldmill.schema.platform.PlacedOrder;
import org.marigoldmill.schema.settings.StandinSettings;

/** The platform's ordering interface; an accepted order starts upstreams in this process. */
public final class OrderingStandin implements Standin {
  private static final int WORKERS = 8;

  private final Map<String, PlacedOrder> byKey = new LinkedHashMap<>();
  private final List<PlacedOrder> received = new ArrayList<>();
  private final Map<String, Long> fencing = new LinkedHashMap<>();
  private final Map<String, Standin> started = new LinkedHashMap<>();
  private final boolean checksFencing;
  private final String instancesAddress;
  private final BiFunction<OrderRequest, String, Standin> factory;
  private final HttpClient client = HttpClient.create("ordering-standin", 1);
  private final HttpServer server;

  private OrderingStandin(
      StandinSettings settings, BiFunction<OrderRequest, String, Standin> factory, Runnable crash) {
    this.checksFencing = settings.getChecksFencing();
    this.instancesAddress = settings.getInstances();
    this.factory = factory;
    Faults faults = new Faults(crash);
    this.server =
        faults
            .install(HttpServer.forAddress(settings.getAddress()))
            .workerThreads(WORKERS)
            .post("/orders", faults.wrap(this::order))
            .get("/orders", faults.wrap(q -> HttpResponse.json(orders())))
            .get("/received", q -> HttpResponse.json(received()))
            .start();
  }

  /**
   * Starts the stand-in.
   *
   * @param settings its settings
   * @param factory starts one upstream of an order under a name
   * @param crash what a crash does
   * @return the running stand-in
   */
  public static OrderingStandin start(
      StandinSettings settings, BiFunction<OrderRequest, String, Standin> factory, Runnable crash) {
    return new OrderingStandin(settings, factory, crash);
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    started.values().forEach(Standin::close);
    server.close();
    client.close();
  }

  /** Returns the accepted orders, oldest first. */
  public synchronized OrderList orders() {
    return OrderList.newBuilder().addAllOrders(byKey.values()).build();
  }

  /** Returns every order received, with refused and repeated ones, oldest first. */
  private synchronized OrderList received() {
    return OrderList.newBuilder().addAllOrders(received).build();
  }

  private synchronized HttpResponse order(Request question) {
    OrderRequest request = ProtoJson.parse(question.body(), OrderRequest.getDefaultInstance());
    received.add(PlacedOrder.newBuilder().setRequest(request).build());
    PlacedOrder known = byKey.get(request.getIdempotencyKey());
    if (known != null) {
      return HttpResponse.json(known.getReply());
    }
    long newest = fencing.getOrDefault(request.getScope(), 0L);
    if (checksFencing && request.getFencing() < newest) {
      return HttpResponse.json(OrderReply.newBuilder().setReason("old fencing number").build());
    }
    fencing.merge(request.getScope(), request.getFencing(), Math::max);
    OrderReply reply =
        request.getReleaseUpstream().isEmpty() ? startOrdered(request) : stopReleased(request);
    byKey.put(
        request.getIdempotencyKey(),
        PlacedOrder.newBuilder().setRequest(request).setReply(reply).build());
    return HttpResponse.json(reply);
  }

  private OrderReply startOrdered(OrderRequest request) {
    OrderReply.Builder reply = OrderReply.newBuilder().setAccepted(true);
    for (int i = 0; i < request.getCount(); i++) {
      String name =
          "%s-%s-%s-%d"
              .formatted(request.getPool(), request.getZone(), request.getIdempotencyKey(), i);
      started.put(name, factory.apply(request, name));
      reply.addUpstreams(name);
    }
    return reply.build();
  }

  private OrderReply stopReleased(OrderRequest request) {
    Standin upstream = started.remove(request.getReleaseUpstream());
    if (upstream != null) {
      upstream.close();
    }
    client.exchange(
        HttpCall.post(
            instancesAddress, "/remove?name=" + request.getReleaseUpstream(), new byte[0]));
    return OrderReply.newBuilder()
        .setAccepted(true)
        .addUpstreams(request.getReleaseUpstream())
        .build();
  }
}
