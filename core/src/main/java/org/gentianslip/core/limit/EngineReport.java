package org.gentianslip.core.limit;

/**
 * The last load report of an engine, as an instance recorded it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running the number of requests that the engine ran, from all instances
 * @param waiting the number of requests that waited in the engine, from all instances
 * @param ownInFlight the number of requests that this instance had in flight at the engine at that
 *     time
 * @param reportedNanos when the report was made, in nanoseconds of the monotonic clock
 */
public record EngineReport(int running, int waiting, int ownInFlight, long reportedNanos) {

  /**
   * Validates the numbers.
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
