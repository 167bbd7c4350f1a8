package org.gentianslip.bench.fleet;

import org.gentianslip.core.id.Rank;

/** Hears nothing. Stateless and safe for use by several threads. */
final class SilentMeter implements EngineMeter {

  @Override
  public void onTokens(Rank rank, long gapNanos, int sequences) {}

  @Override
  public void onSlots(long slotNanos) {}

  @Override
  public void onPrefix(boolean hit) {}
}
