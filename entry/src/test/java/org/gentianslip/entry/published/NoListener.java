package org.gentianslip.entry.published;

import org.gentianslip.core.published.PublishedState;

/** Ignores all updates. */
final class NoListener implements PublishedStateUpdater.Listener {

  @Override
  public void onChanged(long nowNanos, PublishedState state) {}

  @Override
  public void onConfirmed(long nowNanos) {}
}
