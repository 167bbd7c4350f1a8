package org.gentianslip.burn.metric;

import java.util.Map;
import org.gentianslip.core.id.RegionId;

/**
 * Identifies a series of a metric, summed over all instances of a region.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the metric
 * @param labels the values of the labels, by name
 * @param instanceRegion the region of the instances that export the series
 */
public record RegionalSeries(String name, Map<String, String> labels, RegionId instanceRegion) {

  /** Copies the labels. */
  public RegionalSeries {
    labels = Map.copyOf(labels);
  }

  /** Returns the value of a label, or an empty string if the series has no such label. */
  public String label(String label) {
    return labels.getOrDefault(label, "");
  }
}
