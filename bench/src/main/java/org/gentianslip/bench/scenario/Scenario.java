package org.gentianslip.bench.scenario;

import java.util.List;
import java.util.Optional;

/**
 * Describes a run: the load and one window in which a flood or faults hold.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, as given on the command line
 * @param withinCapacity whether the fleet can answer all that is sent, faults included
 * @param shape the load but for the flood
 * @param flood the flood, if any
 * @param faults the faults
 */
public record Scenario(
    String name,
    boolean withinCapacity,
    LoadShape shape,
    Optional<Flood> flood,
    List<Fault> faults) {

  /** The length of a run, in seconds. */
  public static final int RUN_SECONDS = 360;

  /** The time from which results count, in seconds; caches are warm by then. */
  public static final int MEASURE_SECONDS = 60;

  /** The start of the event window, in seconds. */
  public static final int EVENT_START_SECONDS = 120;

  /** The end of the event window, in seconds. */
  public static final int EVENT_END_SECONDS = 240;

  /** Copies the list. */
  public Scenario {
    faults = List.copyOf(faults);
  }

  /** Returns whether a time lies in the event window, in nanoseconds from the start of the run. */
  public static boolean inEvent(long nanos) {
    return nanos >= EVENT_START_SECONDS * 1_000_000_000L
        && nanos < EVENT_END_SECONDS * 1_000_000_000L;
  }
}
