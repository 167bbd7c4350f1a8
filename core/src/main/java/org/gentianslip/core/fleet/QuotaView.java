package org.gentianslip.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.quota.FleetUsage;
import org.gentianslip.core.quota.HeardUsage;

/**
 * What an instance knows of the others for the quotas of customers, as of one moment. Immutable and
 * thread-safe.
 */
final class QuotaView {

  static final QuotaView NONE = new QuotaView(1, 1, Map.of());

  private final int instances;
  private final double reachable;
  private final Map<CustomerId, List<HeardUsage>> centres;

  private QuotaView(int instances, double reachable, Map<CustomerId, List<HeardUsage>> centres) {
    this.instances = instances;
    this.reachable = reachable;
    this.centres = centres;
  }

  /**
   * Creates a view.
   *
   * <p>Single instances that are silent have most likely stopped, and their part of the quota stays
   * usable. If most instances of a data centre are silent, a network partition can be the cause,
   * and they may run on; their part is left to them as long as they are remembered.
   *
   * @param known all other instances remembered
   * @param reached those in contact with this instance
   * @param summaries the last summaries of the other data centres
   */
  static QuotaView of(
      DataCentreId own,
      Collection<PeerRecord> known,
      Set<InstanceId> reached,
      Collection<HeardSummary> summaries) {
    Map<DataCentreId, Integer> silent = new HashMap<>();
    Map<DataCentreId, Integer> present = new HashMap<>();
    present.put(own, 0);
    for (PeerRecord p : known) {
      (reached.contains(p.id()) ? present : silent).merge(p.dataCentre(), 1, Integer::sum);
    }
    int cutOff = 0;
    for (Map.Entry<DataCentreId, Integer> e : silent.entrySet()) {
      cutOff += e.getValue() > present.getOrDefault(e.getKey(), 0) ? e.getValue() : 0;
    }
    int instances = known.size() + 1;
    Map<CustomerId, List<HeardUsage>> centres = new HashMap<>();
    for (HeardSummary s : summaries) {
      s.summary()
          .usage()
          .forEach(
              (customer, usage) ->
                  centres
                      .computeIfAbsent(customer, c -> new ArrayList<>())
                      .add(new HeardUsage(usage, s.heardNanos())));
    }
    return new QuotaView(instances, (double) (instances - cutOff) / instances, centres);
  }

  FleetUsage of(CustomerId customer) {
    return new FleetUsage(instances, reachable, centres.getOrDefault(customer, List.of()));
  }
}
