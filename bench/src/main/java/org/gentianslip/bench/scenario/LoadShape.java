package org.gentianslip.bench.scenario;

/** Tells the load of a region over time. Implementations are stateless. */
@FunctionalInterface
public interface LoadShape {

  /**
   * Returns the load as a share of the region's own capacity.
   *
   * @param region the index of the region
   * @param seconds the time from the start of the run, in seconds
   */
  double load(int region, double seconds);
}
