package org.gentianslip.burn.metric;

import java.util.Map;

/**
 * A sample of a metric, as given by one line of the Prometheus text format.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the metric
 * @param labels the values of the labels, by name
 * @param value the value of the sample
 */
public record MetricSample(String name, Map<String, String> labels, double value) {

  /** Copies the labels. */
  public MetricSample {
    labels = Map.copyOf(labels);
  }
}
