package org.gentianslip.bench.run;

import org.gentianslip.bench.scenario.Arrival;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.routing.RoutingRequest;

/** The state of one request of a caller. Not thread-safe. */
final class SimulatedCall {

  private final Arrival arrival;
  private final RoutingRequest request;
  private final SimulatedEntry origin;
  private int attempts;
  private boolean waited;
  private RegionId servingRegion;

  SimulatedCall(Arrival arrival, RoutingRequest request, SimulatedEntry origin) {
    this.arrival = arrival;
    this.request = request;
    this.origin = origin;
    this.servingRegion = origin.region();
  }

  Arrival arrival() {
    return arrival;
  }

  RoutingRequest request() {
    return request;
  }

  SimulatedEntry origin() {
    return origin;
  }

  /** Counts an attempt after the first one and returns the number of such attempts. */
  int nextAttempt() {
    return ++attempts;
  }

  /**
   * Returns the region whose engine serves the call; the region of the origin until another region
   * answers.
   */
  RegionId servingRegion() {
    return servingRegion;
  }

  void setServingRegion(RegionId region) {
    servingRegion = region;
  }

  void setWaited() {
    waited = true;
  }

  boolean waited() {
    return waited;
  }
}
