package org.gentianslip.bench.scenario;

import java.util.List;
import java.util.Optional;

/**
 * The events of a simulation: the load, and one window with a flood or faults.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, as given on the command line
 * @param withinCapacity whether the fleet can answer all requests, also during the faults
 * @param loadShape the load without the flood
 * @param flood the flood, if any
 * @param faults the faults in the event window
 */
public record Scenario(
    String name,
    boolean withinCapacity,
    LoadShape loadShape,
    Optional<Flood> flood,
    List<Fault> faults) {

  /** The duration of a simulation, in seconds, without the time for draining. */
  public static final int RUN_SECONDS = 360;

  /** The time from which requests are measured, in seconds; caches are warm by then. */
  public static final int MEASURE_START_SECONDS = 60;

  /** The start of the event window, in seconds. */
  public static final int EVENT_START_SECONDS = 120;

  /** The end of the event window, in seconds. */
  public static final int EVENT_END_SECONDS = 240;

  /** Copies the list of faults. */
  public Scenario {
    faults = List.copyOf(faults);
  }

  /**
   * Returns whether a time, in nanoseconds from the start of the simulation, lies in the event
   * window.
   */
  public static boolean isInEventWindow(long nanos) {
    return nanos >= EVENT_START_SECONDS * 1_000_000_000L
        && nanos < EVENT_END_SECONDS * 1_000_000_000L;
  }
}
