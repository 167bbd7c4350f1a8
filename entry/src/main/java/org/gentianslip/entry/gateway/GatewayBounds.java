package org.gentianslip.entry.gateway;

import org.gentianslip.core.published.RevocationRule;
import org.gentianslip.core.quota.QuotaBounds;

/**
 * The limits that operators set for all instances. Immutable and safe for use by several threads.
 *
 * @param repeatShare the repeats allowed per request to a service
 * @param repeatExtra the additional repeats per service and window, allowed to all instances
 *     together
 * @param repeatWindowMillis the window over which repeats are counted, in milliseconds
 * @param coldShare the factor applied to the request rate of a cold backend server
 * @param coldExtra the additional requests per second to a cold backend server, allowed to all
 *     instances together
 * @param graceMillis the time from the shutdown request to the end of the process, in milliseconds
 * @param revocation how old the configuration may be when keys of customers are accepted
 * @param quotas the tolerance within which the quotas of customers hold
 */
public record GatewayBounds(
    double repeatShare,
    double repeatExtra,
    long repeatWindowMillis,
    double coldShare,
    double coldExtra,
    long graceMillis,
    RevocationRule revocation,
    QuotaBounds quotas) {

  /** Creates bounds under which keys are accepted whatever the age of the configuration. */
  public GatewayBounds(
      double repeatShare,
      double repeatExtra,
      long repeatWindowMillis,
      double coldShare,
      double coldExtra,
      long graceMillis) {
    this(
        repeatShare,
        repeatExtra,
        repeatWindowMillis,
        coldShare,
        coldExtra,
        graceMillis,
        RevocationRule.NONE,
        QuotaBounds.DEFAULT);
  }

  /** The factor for bounds shared by all instances, as their known number may be outdated. */
  static final double SAFETY_FACTOR = 0.85;
}
