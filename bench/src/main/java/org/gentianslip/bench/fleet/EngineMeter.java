package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.Rank;

/** Hears what engines do. For one thread. */
public interface EngineMeter {

  /** Some sequences of a rank got their next token after the given time, in nanoseconds. */
  void onTokens(Rank rank, long gapNanos, int sequences);

  /** Sequences of the batch took slots for the given time, in nanoseconds. */
  void onSlots(long slotNanos);

  /** A prompt's prefix was looked up in the cache. */
  void onPrefix(boolean hit);
}
