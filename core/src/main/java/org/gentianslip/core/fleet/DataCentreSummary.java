package org.gentianslip.core.fleet;

import java.util.Map;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.quota.QuotaUsage;

/**
 * What the relay of a data centre reports of it. Immutable and thread-safe.
 *
 * @param dataCentre the data centre
 * @param region its region
 * @param beat a number that increases with each summary of the data centre
 * @param waits what a request may expect, by each service that its instances can reach
 * @param usage what its instances admitted of each customer with a quota
 */
public record DataCentreSummary(
    DataCentreId dataCentre,
    RegionId region,
    long beat,
    Map<ServiceId, ServiceWait> waits,
    Map<CustomerId, QuotaUsage> usage) {

  /** Copies the maps. */
  public DataCentreSummary {
    waits = Map.copyOf(waits);
    usage = Map.copyOf(usage);
  }
}
