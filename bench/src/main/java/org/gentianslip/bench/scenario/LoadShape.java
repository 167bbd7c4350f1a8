package org.gentianslip.bench.scenario;

/** The load of each region as a function of time. Implementations are stateless. */
@FunctionalInterface
public interface LoadShape {

  /**
   * Returns the load as a share of the capacity of the region.
   *
   * @param region the index of the region
   * @param seconds the time from the start of the simulation, in seconds
   */
  double loadAt(int region, double seconds);
}
