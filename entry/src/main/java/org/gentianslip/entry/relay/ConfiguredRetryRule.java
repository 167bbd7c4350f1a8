package org.gentianslip.entry.relay;

import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.core.outcome.RetryBudget;
import org.gentianslip.core.outcome.RetryRule;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;

/**
 * Provides the retry rule with the retry budget of the settings in force.
 *
 * <p>The budget is kept until the settings change its share. Safe for use by several threads.
 */
public final class ConfiguredRetryRule {

  private static final int RETRY_BURST = 20;

  private record Current(double share, RetryBudget budget, RetryRule rule) {}

  private final FleetState state;
  private final int maxAttempts;
  private final long minRemainingNanos;
  private final AtomicReference<Current> current = new AtomicReference<>();

  /**
   * Creates the provider.
   *
   * @param maxAttempts the maximum number of attempts at one request, at least 1
   * @param minRemainingNanos the time that must remain before the deadline for a retry, in
   *     nanoseconds
   */
  public ConfiguredRetryRule(FleetState state, int maxAttempts, long minRemainingNanos) {
    this.state = state;
    this.maxAttempts = maxAttempts;
    this.minRemainingNanos = minRemainingNanos;
    current.set(create(SettingCatalog.RETRY_BUDGET_SHARE.defaultValue()));
  }

  private Current create(double share) {
    RetryBudget budget = RetryBudget.of(share, RETRY_BURST);
    return new Current(share, budget, new RetryRule(maxAttempts, minRemainingNanos, budget));
  }

  /** Records the first attempt at a request. */
  public void recordRequest() {
    current().budget().recordRequest();
  }

  /** Returns the rule in force. */
  public RetryRule rule() {
    return current().rule();
  }

  private Current current() {
    Current previous = current.get();
    Settings settings = state.settings();
    if (settings == null) {
      return previous;
    }
    double share =
        settings
            .effectiveForInstance(state.config().region())
            .get(SettingCatalog.RETRY_BUDGET_SHARE);
    if (share == previous.share()) {
      return previous;
    }
    Current next = create(share);
    return current.compareAndSet(previous, next) ? next : current.get();
  }
}
