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

/** Fake ordering API of the platform; an accepted order starts upstreams in this process. */
public final class OrderingStandin implements Standin {
  private static final int WORKERS = 8;

  private final Map<String, PlacedOrder> byKey = new LinkedHashMap<>();
  private final List<PlacedOrder> received = new ArrayList<>();
  private final Map<String, Long> newestFencingByScope = new LinkedHashMap<>();
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
            .installRoute(HttpServer.forAddress(settings.getAddress()))
            .workerThreads(WORKERS)
            .post("/orders", faults.wrap(this::order))
            .get("/orders", faults.wrap(q -> HttpResponse.json(orders())))
            .get("/received", q -> HttpResponse.json(received()))
            .start();
  }

  /**
   * Starts the server.
   *
   * @param settings settings of the server
   * @param factory starts an ordered upstream with the given name
   * @param crash run when a crash fault is injected
   * @return the running server
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

  /** Returns all orders received, including refused ones and duplicates, oldest first. */
  private synchronized OrderList received() {
    return OrderList.newBuilder().addAllOrders(received).build();
  }

  private synchronized HttpResponse order(Request httpRequest) {
    OrderRequest request = ProtoJson.parse(httpRequest.body(), OrderRequest.getDefaultInstance());
    received.add(PlacedOrder.newBuilder().setRequest(request).build());
    PlacedOrder known = byKey.get(request.getIdempotencyKey());
    if (known != null) {
      return HttpResponse.json(known.getReply());
    }
    long newest = newestFencingByScope.getOrDefault(request.getScope(), 0L);
    if (checksFencing && request.getFencing() < newest) {
      return HttpResponse.json(OrderReply.newBuilder().setReason("old fencing number").build());
    }
    newestFencingByScope.merge(request.getScope(), request.getFencing(), Math::max);
    OrderReply reply =
        request.getReleaseUpstream().isEmpty() ? startUpstreams(request) : stopUpstream(request);
    byKey.put(
        request.getIdempotencyKey(),
        PlacedOrder.newBuilder().setRequest(request).setReply(reply).build());
    return HttpResponse.json(reply);
  }

  private OrderReply startUpstreams(OrderRequest request) {
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

  private OrderReply stopUpstream(OrderRequest request) {
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
