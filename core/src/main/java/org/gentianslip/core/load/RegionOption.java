package org.gentianslip.core.load;

import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.id.RegionId;

/**
 * Another region that may serve a request. Immutable and thread-safe.
 *
 * @param region the region
 * @param stated what its instances expect of a request
 * @param roundTripMillis the network round trip to the region, in milliseconds
 * @param hasPrompt whether one of its engines has prefilled the shared part of the prompt
 * @param delayMillis the time after which a request may be sent there, in milliseconds; 0 if it may
 *     be now
 * @param renewalMillis the time after which the region states its wait anew, in milliseconds
 */
public record RegionOption(
    RegionId region,
    ServiceWait stated,
    double roundTripMillis,
    boolean hasPrompt,
    double delayMillis,
    double renewalMillis) {

  /** Creates an option to which a request may be sent now. */
  public RegionOption(
      RegionId region, ServiceWait stated, double roundTripMillis, boolean hasPrompt) {
    this(region, stated, roundTripMillis, hasPrompt, 0, 0);
  }
}
