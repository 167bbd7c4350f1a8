package org.gentianslip.core.quota;

import org.gentianslip.core.id.CustomerId;

/**
 * The tokens counted for an admitted request. Immutable and thread-safe.
 *
 * @param customer the customer
 * @param tokens the tokens; 0 if the customer has no limit
 * @param admittedNanos when the request was admitted, in nanoseconds of the monotonic clock
 */
public record QuotaGrant(CustomerId customer, double tokens, long admittedNanos) {}
