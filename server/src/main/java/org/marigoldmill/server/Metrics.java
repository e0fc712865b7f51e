package org.marigoldmill.server;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

/**
 * Prometheus metrics of one entry instance.
 *
 * <p>Without exemplars: the text format has none, and sampling them wakes a thread for each
 * counter.
 */
public final class Metrics {
  private static final String PREFIX = "marigoldmill_";

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter callsTotal =
      Counter.builder()
          .name(PREFIX + "calls_total")
          .help("Calls by service, organisation and outcome")
          .labelNames("service", "organisation", "outcome")
          .withoutExemplars()
          .register(registry);
  private final Histogram callSeconds =
      Histogram.builder()
          .name(PREFIX + "call_seconds")
          .help("Duration of calls by service")
          .labelNames("service")
          .withoutExemplars()
          .register(registry);
  private final Counter retriesTotal =
      Counter.builder()
          .name(PREFIX + "repeated_attempts_total")
          .help("Attempts beyond the first, by service")
          .labelNames("service")
          .withoutExemplars()
          .register(registry);
  private final Counter samplesTotal =
      Counter.builder()
          .name(PREFIX + "samples_total")
          .help("Samples by job and what became of them")
          .labelNames("job", "outcome")
          .withoutExemplars()
          .register(registry);

  private final Histogram choiceWaitSeconds =
      Histogram.builder()
          .name(PREFIX + "upstream_choice_wait_seconds")
          .help("Estimated wait for a slot at the upstream chosen, by service")
          .labelNames("service")
          .classicOnly()
          .classicUpperBounds(0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1)
          .withoutExemplars()
          .register(registry);
  private final Histogram choiceAgeSeconds =
      Histogram.builder()
          .name(PREFIX + "upstream_choice_age_seconds")
          .help("Age of the report from which an upstream was chosen, by service; +Inf if none")
          .labelNames("service")
          .classicOnly()
          .classicUpperBounds(0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60)
          .withoutExemplars()
          .register(registry);
  private final Counter choicesTotal =
      Counter.builder()
          .name(PREFIX + "upstream_choices_total")
          .help("Choices of an upstream, by service and where it is")
          .labelNames("service", "outcome")
          .withoutExemplars()
          .register(registry);
  private final Counter fullRefusalsTotal =
      Counter.builder()
          .name(PREFIX + "upstream_full_total")
          .help("Requests that an upstream refused because it was full, by service")
          .labelNames("service")
          .withoutExemplars()
          .register(registry);

  private final Counter unsentResponsesTotal =
      Counter.builder()
          .name(PREFIX + "unsent_responses_total")
          .help("Responses whose connection was closed before they could be sent")
          .withoutExemplars()
          .register(registry);

  private final Counter storeCallsTotal =
      Counter.builder()
          .name(PREFIX + "store_calls_total")
          .help("Calls to the store by kind and by topic or group")
          .labelNames("kind", "name")
          .withoutExemplars()
          .register(registry);

  private final Counter engineOrdersTotal =
      Counter.builder()
          .name(PREFIX + "engine_orders_total")
          .help("Orders of engines by service, zone and answer of the platform")
          .labelNames("service", "zone", "answer")
          .withoutExemplars()
          .register(registry);

  private final Gauge engines =
      Gauge.builder()
          .name(PREFIX + "engines")
          .help("Engines of a service that are wanted and that serve, seen by the duty holder")
          .labelNames("service", "zone", "state")
          .withoutExemplars()
          .register(registry);

  /** Counts an order of engines. */
  public void recordEngineOrder(String service, String zone, String answer) {
    engineOrdersTotal.labelValues(service, zone, answer).inc();
  }

  /** Records how many engines of a service are wanted in a zone and how many serve. */
  public void recordEngines(String service, String zone, int wanted, int serving) {
    engines.labelValues(service, zone, "wanted").set(wanted);
    engines.labelValues(service, zone, "serving").set(serving);
  }

  /** Counts a call to the store. */
  public void recordStoreCall(String kind, String name) {
    storeCallsTotal.labelValues(kind, name).inc();
  }

  /** Counts a call and records its duration, given in milliseconds. */
  public void recordCall(String service, String organisation, String outcome, long durationMs) {
    callsTotal.labelValues(service, organisation, outcome).inc();
    callSeconds.labelValues(service).observe(durationMs / 1e3);
  }

  /** Counts an attempt after the first. */
  public void recordRetry(String service) {
    retriesTotal.labelValues(service).inc();
  }

  /**
   * Records the choice of an upstream.
   *
   * @param outcome where the upstream is: in the own zone or another one; or none
   * @param waitMs estimated wait for a slot there, in milliseconds
   * @param ageMs age of its last report, in milliseconds
   */
  public void recordChoice(String service, String outcome, double waitMs, long ageMs) {
    choicesTotal.labelValues(service, outcome).inc();
    choiceWaitSeconds.labelValues(service).observe(waitMs / 1e3);
    choiceAgeSeconds.labelValues(service).observe(ageMs / 1e3);
  }

  /** Counts a choice that found no upstream. */
  public void recordNoChoice(String service) {
    choicesTotal.labelValues(service, "none").inc();
  }

  /** Counts a request that an upstream refused because it was full. */
  public void recordFullRefusal(String service) {
    fullRefusalsTotal.labelValues(service).inc();
  }

  /** Counts samples of a job with the same outcome. */
  public void recordSamples(String job, String outcome, long count) {
    samplesTotal.labelValues(job, outcome).inc(count);
  }

  /** Counts a response whose connection was closed before it could be sent. */
  public void recordUnsentResponse() {
    unsentResponsesTotal.inc();
  }

  /** Registers a gauge whose value is read on each scrape. */
  public void registerGauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(PREFIX + name)
        .help(help)
        .callback(c -> c.call(value.getAsDouble()))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public byte[] toPrometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
