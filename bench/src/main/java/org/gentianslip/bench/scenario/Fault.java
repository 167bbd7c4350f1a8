package org.gentianslip.bench.scenario;

/** A fault that holds during the event window of a scenario. Immutable and thread-safe. */
public sealed interface Fault {

  /**
   * Some engines of a region fail at the start of the window and recover with empty caches at its
   * end.
   *
   * @param region the index of the region
   * @param engines the number of engines that fail
   */
  record EnginesLost(int region, int engines) implements Fault {}

  /**
   * A region loses its links to all other regions for the duration of the window.
   *
   * @param region the index of the region
   */
  record Partition(int region) implements Fault {}
}
