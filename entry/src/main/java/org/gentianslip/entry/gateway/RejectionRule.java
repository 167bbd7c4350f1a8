package org.gentianslip.entry.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.published.ConfigurationKnowledge;
import org.gentianslip.core.published.Confirmation;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.time.ClockReading;

/**
 * Decides whether a request that the configuration in force does not allow may be rejected as
 * wrong, or must be refused as a newer configuration may allow it.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class RejectionRule {

  /** More than passes between two confirmations while the publisher is reached. */
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final ConfigurationKnowledge knowledge;

  RejectionRule(ConfigurationKnowledge knowledge) {
    this.knowledge = knowledge;
  }

  /**
   * Returns whether a request may be rejected by a table.
   *
   * @param confirmation what is known of the table, read before it
   */
  boolean mayReject(RouteTable table, Optional<Confirmation> confirmation, ClockReading now) {
    return table.isComplete()
        && !knowledge.isBehind(table.version(), now.steadyNanos())
        && confirmation.map(c -> c.ageNanos(now) <= MAX_AGE_NANOS).orElse(false);
  }
}
