package org.gentianslip.entry.relay;

import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.outcome.RetryBudget;
import org.gentianslip.core.outcome.RetryRule;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;

/**
 * Holds the retry rule with the budget that the settings in force give.
 *
 * <p>The budget is kept until its share changes. Safe for use by several threads.
 */
public final class RetryRules {

  private static final int RETRY_BURST = 20;

  private record Current(double share, RetryBudget budget, RetryRule rule) {}

  private final FleetState state;
  private final int maxAttempts;
  private final long leastUsefulNanos;
  private final AtomicReference<Current> current = new AtomicReference<>();

  /**
   * Creates the rules.
   *
   * @param maxAttempts the greatest number of attempts at one request, at least 1
   * @param leastUsefulNanos the time that must be left before the deadline, in nanoseconds
   */
  public RetryRules(FleetState state, int maxAttempts, long leastUsefulNanos) {
    this.state = state;
    this.maxAttempts = maxAttempts;
    this.leastUsefulNanos = leastUsefulNanos;
    current.set(withShare(SettingCatalog.RETRY_BUDGET_SHARE.defaultValue()));
  }

  private Current withShare(double share) {
    RetryBudget budget = RetryBudget.of(share, RETRY_BURST);
    return new Current(share, budget, new RetryRule(maxAttempts, leastUsefulNanos, budget));
  }

  /** Records a first attempt. */
  public void requestStarted() {
    now().budget().requestStarted();
  }

  /** Returns the rule in force. */
  public RetryRule rule() {
    return now().rule();
  }

  private Current now() {
    Current known = current.get();
    Settings settings = state.settings();
    if (settings == null) {
      return known;
    }
    double share =
        settings
            .effectiveForInstance(state.place().region())
            .get(SettingCatalog.RETRY_BUDGET_SHARE);
    if (share == known.share()) {
      return known;
    }
    Current next = withShare(share);
    return current.compareAndSet(known, next) ? next : current.get();
  }
}
