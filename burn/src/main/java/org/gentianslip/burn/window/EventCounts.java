package org.gentianslip.burn.window;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.gentianslip.core.id.RegionId;

/**
 * Counts requests and the bad ones among them.
 *
 * <p>Not safe for use by several threads while it is being filled.
 */
final class EventCounts {

  private double total;
  private double bad;
  private final Map<Cause, Double> byCause = new EnumMap<>(Cause.class);
  private final Map<RegionId, Double> byRegion = new TreeMap<>();

  void addTotal(double count) {
    total += count;
  }

  void addBad(Cause cause, RegionId region, double count) {
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

  Map<Cause, Double> byCause() {
    return byCause;
  }

  Map<RegionId, Double> byRegion() {
    return byRegion;
  }

  double badShare() {
    return total <= 0 ? 0 : Math.min(1, bad / total);
  }
}
