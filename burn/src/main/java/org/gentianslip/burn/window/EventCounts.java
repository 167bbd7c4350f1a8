package org.gentianslip.burn.window;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.gentianslip.core.id.RegionId;

/**
 * The numbers of requests and of the bad ones among them.
 *
 * <p>Not thread-safe while counts are being added.
 */
final class EventCounts {

  private double total;
  private double bad;
  private final Map<BadEventCause, Double> byCause = new EnumMap<>(BadEventCause.class);
  private final Map<RegionId, Double> byRegion = new TreeMap<>();

  void addTotal(double count) {
    total += count;
  }

  void addBad(BadEventCause cause, RegionId region, double count) {
    if (count <= 0) {
      return;
    }
    bad += count;
    byCause.merge(cause, count, Double::sum);
    byRegion.merge(region, count, Double::sum);
  }

  double total() {
    return total;
  }

  double bad() {
    return bad;
  }

  Map<BadEventCause, Double> byCause() {
    return byCause;
  }

  Map<RegionId, Double> byRegion() {
    return byRegion;
  }

  double badShare() {
    return total <= 0 ? 0 : Math.min(1, bad / total);
  }
}
