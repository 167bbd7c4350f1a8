package org.gentianslip.core.fleet;

import java.util.Map;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.quota.QuotaUsage;

/**
 * What a relay has to publish of its data centre. Immutable and thread-safe.
 *
 * @param waits what a request may expect, by each service that its instances can reach
 * @param usage what its instances admitted of each customer with a quota
 */
public record DataCentreReport(
    Map<ServiceId, ServiceWait> waits, Map<CustomerId, QuotaUsage> usage) {

  /** Copies the maps. */
  public DataCentreReport {
    waits = Map.copyOf(waits);
    usage = Map.copyOf(usage);
  }
}
