package org.gentianslip.entry.state;

/**
 * The load that an engine reported.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots the maximum number of requests that run at once, 0 if unknown
 * @param running the number of running requests
 * @param waiting the number of waiting requests
 * @param leaving whether the engine is leaving
 * @param receivedNanos when the report arrived, in nanoseconds of the monotonic clock
 */
public record ObservedEngineLoad(
    int slots, int running, int waiting, boolean leaving, long receivedNanos) {

  /** The load of an engine that has not reported. */
  public static final ObservedEngineLoad NONE = new ObservedEngineLoad(0, 0, 0, false, 0);
}
