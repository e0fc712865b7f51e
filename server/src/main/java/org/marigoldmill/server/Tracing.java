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

/** Traces with a span for each hop, in the W3C format. */
public final class Tracing implements AutoCloseable {
  private static final W3CTraceContextPropagator W3C = W3CTraceContextPropagator.getInstance();
  private static final TextMapGetter<HttpServerExchange> REQUEST_HEADERS = new RequestHeaders();

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  /**
   * Creates the tracing of one process.
   *
   * @param instance name of the process
   * @param exporter where spans go; empty drops them after their identity was passed on and logged
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

  /** Starts the span of a call as the caller's child. */
  public Span startServerSpan(HttpServerExchange exchange, String name) {
    Context parent = W3C.extract(Context.root(), exchange, REQUEST_HEADERS);
    return tracer.spanBuilder(name).setSpanKind(SpanKind.SERVER).setParent(parent).startSpan();
  }

  /** Starts a span below another. */
  public Span startClientSpan(Span parent, String name) {
    return tracer
        .spanBuilder(name)
        .setSpanKind(SpanKind.CLIENT)
        .setParent(Context.root().with(parent))
        .startSpan();
  }

  /** Returns the headers that pass a span on. */
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
