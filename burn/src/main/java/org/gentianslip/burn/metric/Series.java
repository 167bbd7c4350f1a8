package org.gentianslip.burn.metric;

import java.util.Map;
import org.gentianslip.core.id.RegionId;

/**
 * Names a series of a metric over all instances of a region.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the metric's name
 * @param labels the labels by their names
 * @param instanceRegion the region of the instances that offer the series
 */
public record Series(String name, Map<String, String> labels, RegionId instanceRegion) {

  /** Copies the labels. */
  public Series {
    labels = Map.copyOf(labels);
  }

  /** Returns a label's value, empty if the series has no such label. */
  public String label(String label) {
    return labels.getOrDefault(label, "");
  }
}
