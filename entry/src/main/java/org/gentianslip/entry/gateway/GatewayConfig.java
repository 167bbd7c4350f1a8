package org.gentianslip.entry.gateway;

import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.published.Backend;

/**
 * Tells an instance who it is, where it listens and within which bounds it works. Immutable and
 * safe for use by several threads.
 *
 * @param id the instance
 * @param region its region
 * @param dataCentre its data centre
 * @param regions the region of each data centre
 * @param host the IP number that it listens on
 * @param callerPort the port for callers
 * @param controlPort the port for hellos of other instances
 * @param forwardPort the port for requests that other instances forward
 * @param seeds control addresses of some instances, which may be out of date
 * @param bounds the bounds
 */
public record GatewayConfig(
    InstanceId id,
    RegionId region,
    DataCentreId dataCentre,
    Map<DataCentreId, RegionId> regions,
    String host,
    int callerPort,
    int controlPort,
    int forwardPort,
    List<String> seeds,
    GatewayBounds bounds) {

  /** Copies the collections. */
  public GatewayConfig {
    regions = Map.copyOf(regions);
    seeds = List.copyOf(seeds);
  }

  /** Returns whether a backend server stands in this instance's region. */
  public boolean isNear(Backend backend) {
    return region.equals(regions.get(backend.dataCentre()));
  }

  /** Returns where other instances reach this one, as {@code IP:PORT}. */
  public String controlAddress() {
    return host + ":" + controlPort;
  }

  /** Returns this place with other seeds. */
  public GatewayConfig withSeeds(List<String> newSeeds) {
    return new GatewayConfig(
        id,
        region,
        dataCentre,
        regions,
        host,
        callerPort,
        controlPort,
        forwardPort,
        newSeeds,
        bounds);
  }
}
