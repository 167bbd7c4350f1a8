package org.gentianslip.entry.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.gentianslip.entry.metrics.MetricsText;

/**
 * The metrics of routed requests.
 *
 * <p>Label values are ranks, constants of this program and the first 64 customers only, so their
 * number is bounded. Safe for use by several threads.
 */
final class GatewayMetrics {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** The bucket bounds in seconds, which include objectives from lookups to long streams. */
  private static final double[] RESPONSE_TIME_BOUNDS = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.62, 1.0, 2.0, 5.0, 10.0, 30.0
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private final Counter requests =
      Counter.builder()
          .name("gentian_gateway_requests_total")
          .help("Routed requests by rank and by how they ended.")
          .labelNames("rank", "outcome")
          .register(registry);

  private final Counter refusals =
      Counter.builder()
          .name("gentian_gateway_refusals_total")
          .help("Routed requests that were answered as not run, by reason.")
          .labelNames("rank", "reason")
          .register(registry);

  private final Counter rejections =
      Counter.builder()
          .name("gentian_gateway_rejections_total")
          .help("Requests that were answered as wrong, by status and reason.")
          .labelNames("status", "reason")
          .register(registry);

  private final Counter attempts =
      Counter.builder()
          .name("gentian_gateway_attempts_total")
          .help("Attempts at backend servers, at instances of other regions and at neighbours.")
          .labelNames("rank", "to")
          .register(registry);

  private final Counter repeats =
      Counter.builder()
          .name("gentian_gateway_repeats_total")
          .help("Attempts after the first of a request.")
          .labelNames("rank")
          .register(registry);

  private final Counter takeUps =
      Counter.builder()
          .name("gentian_gateway_take_ups_total")
          .help("Requests that go on with a stream, by how the version that began it is known.")
          .labelNames("result")
          .register(registry);

  private final Counter reportCalls =
      Counter.builder()
          .name("gentian_gateway_report_calls_total")
          .help("Calls for the reports of engines, by purpose and by what was seen.")
          .labelNames("purpose", "result")
          .register(registry);

  private final Histogram responseTime =
      Histogram.builder()
          .name("gentian_gateway_answer_seconds")
          .help("Time from a request to its answer, or to the first event of a stream.")
          .labelNames("rank")
          .classicUpperBounds(RESPONSE_TIME_BOUNDS)
          .classicOnly()
          .register(registry);

  /** Registers the gauges, whose values are read at each scrape. */
  void registerGauges(DoubleSupplier inFlight, DoubleSupplier revision, DoubleSupplier ageSeconds) {
    gauge("gentian_gateway_in_flight_requests", "Routed requests that have not ended.", inFlight);
    gauge("gentian_gateway_settings_revision", "The version of the routes in force.", revision);
    gauge(
        "gentian_gateway_confirmed_age_seconds",
        "Time since the published state was last confirmed.",
        ageSeconds);
  }

  /** Registers the gauge of the version of the messages between instances. */
  void registerWireVersion(DoubleSupplier version) {
    gauge(
        "gentian_gateway_wire_revision",
        "The version of the messages between instances that this build sends.",
        version);
  }

  /** Registers the gauges of the processor, whose values are read at each scrape. */
  void registerProcessorGauges(DoubleSupplier delaySeconds, DoubleSupplier capacityCores) {
    gauge(
        "gentian_gateway_loop_delay_seconds",
        "The longest recent wait of a request in an event loop.",
        delaySeconds);
    gauge(
        "gentian_gateway_stated_capacity_cores",
        "The processor capacity stated to other instances.",
        capacityCores);
  }

  /** Registers the gauge of how long this instance has not connected to a service. */
  void registerReach(DoubleSupplier unreachedSeconds) {
    gauge(
        "gentian_gateway_unreached_seconds",
        "Time since a connection to a service that can't be reached; 0 if all can.",
        unreachedSeconds);
  }

  /** Registers the counts by customer with a quota, which are read at each scrape. */
  void registerQuotas(Supplier<Map<String, CustomerQuotas.Counts>> counts) {
    CounterWithCallback.builder()
        .name("gentian_gateway_quota_requests_total")
        .help("Requests of customers with a quota: admitted, refused, or returned as not run.")
        .labelNames("customer", "outcome")
        .callback(
            c ->
                counts
                    .get()
                    .forEach(
                        (customer, n) -> {
                          c.call(n.admitted().sum(), customer, "admitted");
                          c.call(n.refused().sum(), customer, "refused");
                          c.call(n.returned().sum(), customer, "returned");
                        }))
        .register(registry);
  }

  /** Registers the gauge of the routes and customers that no region may serve together. */
  void registerRegionConflicts(DoubleSupplier count) {
    gauge(
        "gentian_gateway_region_conflict_pairs",
        "Pairs of a route and a customer that no region may serve together.",
        count);
  }

  /**
   * Registers the gauge of the age of the configuration.
   *
   * @param ageSeconds the age in seconds, infinite if it was never confirmed
   */
  void registerConfigurationAge(DoubleSupplier ageSeconds) {
    gauge(
        "gentian_gateway_configuration_age_seconds",
        "Time since the configuration in force was known to be the newest.",
        ageSeconds);
  }

  private void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(c -> c.call(value.getAsDouble()))
        .register(registry);
  }

  /** Counts a request by its outcome. */
  void countRequest(String rank, String outcome) {
    requests.labelValues(rank, outcome).inc();
  }

  /** Counts a request that was refused without being run. */
  void countRefusal(String rank, String reason) {
    refusals.labelValues(rank, reason).inc();
  }

  /** Counts a request that was answered as wrong. */
  void countRejection(int status, String reason) {
    rejections.labelValues(Integer.toString(status), reason).inc();
  }

  /** Counts an attempt. */
  void countAttempt(String rank, String target, boolean isFirst) {
    attempts.labelValues(rank, target).inc();
    if (!isFirst) {
      repeats.labelValues(rank).inc();
    }
  }

  /** Counts a request that goes on with a stream. */
  void countTakeUp(String result) {
    takeUps.labelValues(result).inc();
  }

  /** Counts a call for the report of an engine. */
  void countReportCall(String purpose, String result) {
    reportCalls.labelValues(purpose, result).inc();
  }

  /** Records the time to a response or to the first event of a stream. */
  void observeResponseTime(String rank, long millis) {
    responseTime.labelValues(rank).observe(millis / MILLIS_PER_SECOND);
  }

  /** Returns the metrics in the Prometheus text format. */
  byte[] text() {
    return MetricsText.of(registry);
  }
}
