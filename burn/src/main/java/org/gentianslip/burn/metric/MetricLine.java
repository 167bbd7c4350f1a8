package org.gentianslip.burn.metric;

import java.util.Map;

/**
 * A line of the Prometheus text format.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the metric's name
 * @param labels the labels by their names
 * @param value the value
 */
public record MetricLine(String name, Map<String, String> labels, double value) {

  /** Copies the labels. */
  public MetricLine {
    labels = Map.copyOf(labels);
  }
}
