package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.Rank;

/** Receives the events that engines report for measurement. Not thread-safe. */
public interface EngineObserver {

  /** Called when sequences of a rank got their next token after the given time, in nanoseconds. */
  void onTokens(Rank rank, long gapNanos, int sequences);

  /**
   * Called at the end of a step with the time for which slots were occupied, summed over the slots
   * of the engine, in nanoseconds.
   */
  void onSlotsOccupied(long slotNanos);

  /** Called when the prefix of a prompt was looked up in the cache. */
  void onPrefixLookup(boolean hit);
}
