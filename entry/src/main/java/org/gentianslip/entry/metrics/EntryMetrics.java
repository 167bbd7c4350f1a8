package org.gentianslip.entry.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.gentianslip.core.id.Rank;

/**
 * The metrics of an instance.
 *
 * <p>Label values come only from the settings and from fixed sets, so that the number of series is
 * bounded. Safe for use by several threads.
 */
public final class EntryMetrics {

  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private final Counter requests =
      Counter.builder()
          .name("gentian_requests_total")
          .help("Requests by how they ended.")
          .labelNames("rank", "kind", "region", "outcome")
          .register(registry);

  private final Counter customers =
      Counter.builder()
          .name("gentian_customer_requests_total")
          .help("Requests of each customer by how they ended.")
          .labelNames("customer", "outcome")
          .register(registry);

  private final Counter refusals =
      Counter.builder()
          .name("gentian_refusals_total")
          .help("Requests that were refused, by code.")
          .labelNames("rank", "code")
          .register(registry);

  private final Counter forwarded =
      Counter.builder()
          .name("gentian_forwarded_total")
          .help("Requests that were sent to another region.")
          .labelNames("rank", "to")
          .register(registry);

  private final Histogram firstToken =
      Histogram.builder()
          .name("gentian_first_token_seconds")
          .help("Time from admission to the first token.")
          .labelNames("rank", "region")
          .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.62, 1.0, 2.0, 5.0, 10.0, 30.0)
          .classicOnly()
          .register(registry);

  private final Histogram tokenGap =
      Histogram.builder()
          .name("gentian_token_gap_seconds")
          .help("Time between tokens.")
          .labelNames("rank")
          .classicUpperBounds(0.005, 0.01, 0.02, 0.04, 0.054, 0.08, 0.16, 0.5, 2.0)
          .classicOnly()
          .register(registry);

  private final Counter controlMessages =
      Counter.builder()
          .name("gentian_control_messages_total")
          .help("Messages between instances, by kind.")
          .labelNames("kind")
          .register(registry);

  private final Counter controlBytes =
      Counter.builder()
          .name("gentian_control_bytes_total")
          .help("Bytes of messages between instances, by direction.")
          .labelNames("direction")
          .register(registry);

  private final Gauge inFlight =
      Gauge.builder()
          .name("gentian_in_flight_requests")
          .help("Requests that are admitted and have not ended.")
          .register(registry);

  private final Gauge queued =
      Gauge.builder()
          .name("gentian_queued_requests")
          .help("Requests that wait for capacity.")
          .register(registry);

  private final Gauge revision =
      Gauge.builder()
          .name("gentian_settings_revision")
          .help("The settings revision in force.")
          .register(registry);

  /** Counts the end of a request. */
  public void recordOutcome(
      Rank rank, String kind, String region, String customer, String outcome) {
    requests.labelValues(label(rank), kind, region, outcome).inc();
    customers.labelValues(customer, outcome).inc();
  }

  /** Counts a refusal. */
  public void recordRefusal(Rank rank, String code) {
    refusals.labelValues(label(rank), code).inc();
  }

  /** Counts a refusal of a request whose rank is not known. */
  public void refusedUnranked(String code) {
    refusals.labelValues("none", code).inc();
  }

  /** Counts a request forwarded to another region. */
  public void forwarded(Rank rank, String region) {
    forwarded.labelValues(label(rank), region).inc();
  }

  /** Records the time from admission to the first token, in nanoseconds. */
  public void firstToken(Rank rank, String region, long nanos) {
    firstToken.labelValues(label(rank), region).observe(nanos / NANOS_PER_SECOND);
  }

  /** Records the time between two tokens, in nanoseconds. */
  public void tokenGap(Rank rank, long nanos) {
    tokenGap.labelValues(label(rank)).observe(nanos / NANOS_PER_SECOND);
  }

  /** Counts a message between instances. */
  public void controlMessage(String kind, long sentBytes, long receivedBytes) {
    controlMessages.labelValues(kind).inc();
    controlBytes.labelValues("sent").inc(sentBytes);
    controlBytes.labelValues("received").inc(receivedBytes);
  }

  /** Sets the number of requests in flight. */
  public void inFlight(int count) {
    inFlight.set(count);
  }

  /** Sets the number of waiting requests. */
  public void queued(int count) {
    queued.set(count);
  }

  /** Sets the settings revision in force. */
  public void setSettingsRevision(long value) {
    revision.set(value);
  }

  /** Returns all metrics in the Prometheus text format. */
  public byte[] text() {
    return MetricsText.of(registry);
  }

  private static String label(Rank rank) {
    return rank.name().toLowerCase(Locale.ROOT);
  }
}
