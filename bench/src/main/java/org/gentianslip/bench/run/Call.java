package org.gentianslip.bench.run;

import org.gentianslip.bench.scenario.Arrival;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.routing.RoutingRequest;

/** Follows one caller's request through the fleet. For one thread. */
final class Call {

  private final Arrival arrival;
  private final RoutingRequest request;
  private final FakeEntry origin;
  private int attempts;
  private boolean waited;
  private RegionId holder;

  Call(Arrival arrival, RoutingRequest request, FakeEntry origin) {
    this.arrival = arrival;
    this.request = request;
    this.origin = origin;
    this.holder = origin.region();
  }

  Arrival arrival() {
    return arrival;
  }

  RoutingRequest request() {
    return request;
  }

  FakeEntry origin() {
    return origin;
  }

  /** Counts an attempt beyond the first and returns how many there are. */
  int nextAttempt() {
    return ++attempts;
  }

  /** Returns the region whose engine answers. */
  RegionId holder() {
    return holder;
  }

  void setHolder(RegionId region) {
    holder = region;
  }

  void setWaited() {
    waited = true;
  }

  boolean waited() {
    return waited;
  }
}
