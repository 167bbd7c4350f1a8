package org.gentianslip.entry.gateway;

import java.util.List;
import java.util.Map;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.published.Backend;

/**
 * The identity, the addresses and the bounds of an instance. Immutable and safe for use by several
 * threads.
 *
 * @param id the id of the instance
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param regions the region of each data centre
 * @param host the IP address to listen on
 * @param callerPort the port for callers
 * @param controlPort the port for hellos of other instances
 * @param forwardPort the port for requests that other instances forward
 * @param seeds control addresses of some instances, possibly outdated
 * @param capacity the processor capacity, in hundredths of a core
 * @param bounds the bounds that operators set
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
    int capacity,
    GatewayBounds bounds) {

  /** Copies the collections. */
  public GatewayConfig {
    regions = Map.copyOf(regions);
    seeds = List.copyOf(seeds);
  }

  /** Returns whether a backend server is in the region of this instance. */
  public boolean isLocal(Backend backend) {
    return region.equals(regions.get(backend.dataCentre()));
  }

  /** Returns the address for hellos of other instances, as {@code IP:PORT}. */
  public String controlAddress() {
    return host + ":" + controlPort;
  }

  /** Returns a copy with other seeds. */
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
        capacity,
        bounds);
  }
}
