package org.marigoldmill.server;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.StreamSupport;
import org.marigoldmill.http.HttpCall.Header;

/** Distributed tracing with a span for each hop and W3C trace context propagation. */
public final class Tracing implements AutoCloseable {
  private static final W3CTraceContextPropagator W3C = W3CTraceContextPropagator.getInstance();
  private static final TextMapGetter<HttpServerExchange> REQUEST_HEADERS = new RequestHeaders();

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  /**
   * Creates the tracing of one process.
   *
   * @param instance name of the process
   * @param exporter receives the spans; without one they are only propagated, not exported
   */
  public Tracing(String instance, Optional<SpanExporter> exporter) {
    var builder =
        SdkTracerProvider.builder()
            .setResource(
                Resource.builder()
                    .put("service.name", "marigoldmill")
                    .put("service.instance.id", instance)
                    .build());
    exporter.ifPresent(e -> builder.addSpanProcessor(BatchSpanProcessor.builder(e).build()));
    this.provider = builder.build();
    this.tracer = provider.get("marigoldmill");
  }

  /** Starts a server span whose parent is taken from the headers of the request. */
  public Span startServerSpan(HttpServerExchange exchange, String name) {
    Context parent = W3C.extract(Context.root(), exchange, REQUEST_HEADERS);
    return tracer.spanBuilder(name).setSpanKind(SpanKind.SERVER).setParent(parent).startSpan();
  }

  /** Starts a client span as a child of another. */
  public Span startClientSpan(Span parent, String name) {
    return tracer
        .spanBuilder(name)
        .setSpanKind(SpanKind.CLIENT)
        .setParent(Context.root().with(parent))
        .startSpan();
  }

  /** Returns the headers that propagate a span to the next hop. */
  public List<Header> propagationHeaders(Span span) {
    List<Header> headers = new ArrayList<>();
    W3C.inject(
        Context.root().with(span), headers, (list, name, value) -> addHeader(list, name, value));
    return headers;
  }

  @Override
  public void close() {
    provider.close();
  }

  private static void addHeader(List<Header> list, String name, String value) {
    if (list != null) {
      list.add(new Header(name, value));
    }
  }

  private static final class RequestHeaders implements TextMapGetter<HttpServerExchange> {
    @Override
    @SuppressWarnings("deprecation")
    public Iterable<String> keys(HttpServerExchange exchange) {
      return StreamSupport.stream(exchange.getRequestHeaders().spliterator(), false)
          .map(h -> h.getHeaderName().toString())
          .toList();
    }

    @Override
    public String get(HttpServerExchange exchange, String key) {
      return exchange == null ? null : exchange.getRequestHeaders().getFirst(key);
    }
  }
}
