package org.gentianslip.entry.state;

/**
 * Holds an engine's load report.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots the greatest number of requests that run at once, 0 if not known
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param leaving whether the engine is leaving
 * @param atNanos when the report arrived, in nanoseconds of the monotonic clock
 */
public record EngineLoad(int slots, int running, int waiting, boolean leaving, long atNanos) {

  /** The load of an engine that has not reported. */
  public static final EngineLoad NONE = new EngineLoad(0, 0, 0, false, 0);
}
