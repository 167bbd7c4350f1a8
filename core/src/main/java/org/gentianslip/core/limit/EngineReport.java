package org.gentianslip.core.limit;

/**
 * Holds what an instance noted when an engine last reported its load.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param running the requests that the engine ran, from all instances
 * @param waiting the requests that waited in the engine, from all instances
 * @param ownInFlight the requests that this instance had in flight there at that time
 * @param reportedNanos when the report was made, in nanoseconds of the monotonic clock
 */
public record EngineReport(int running, int waiting, int ownInFlight, long reportedNanos) {

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if a number of requests is negative
   */
  public EngineReport {
    if (running < 0 || waiting < 0 || ownInFlight < 0) {
      throw new IllegalArgumentException(
          "Numbers of requests must not be negative: "
              + running
              + ", "
              + waiting
              + ", "
              + ownInFlight);
    }
  }
}
