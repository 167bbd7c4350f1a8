package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.Rank;

/** An observer that ignores all events. Stateless and thread-safe. */
final class NoOpObserver implements EngineObserver {

  @Override
  public void onTokens(Rank rank, long gapNanos, int sequences) {}

  @Override
  public void onSlotsOccupied(long slotNanos) {}

  @Override
  public void onPrefixLookup(boolean hit) {}
}
