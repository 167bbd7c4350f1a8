package org.gentianslip.entry.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts how requests end. Safe for use by several threads. */
public final class RequestCounts {

  private final Counter ended;

  /** Registers the counters. */
  public RequestCounts(PrometheusRegistry registry) {
    ended =
        Counter.builder()
            .name("gentian_gateway_requests_total")
            .help("Routed requests by rank and by how they ended.")
            .labelNames("rank", "outcome")
            .register(registry);
  }

  void ended(String rank, String outcome) {
    ended.labelValues(rank, outcome).inc();
  }
}
