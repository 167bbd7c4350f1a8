package org.gentianslip.bench.scenario;

/** Tells what fails in a scenario's event window. Immutable and safe for use by several threads. */
public sealed interface Fault {

  /**
   * Some engines of a region fail at the start of the window and return cold at its end.
   *
   * @param region the index of the region
   * @param engines how many fail
   */
  record EnginesLost(int region, int engines) implements Fault {}

  /**
   * A region loses its links to all others in the window.
   *
   * @param region the index of the region
   */
  record Partition(int region) implements Fault {}
}
