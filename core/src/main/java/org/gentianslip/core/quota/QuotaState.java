package org.gentianslip.core.quota;

/**
 * The inputs of a decision on a quota, for logs and operators. Immutable and thread-safe.
 *
 * @param allowance the tokens allowed in a window
 * @param usable the part of them that this instance may count on, less if others are cut off
 * @param own the tokens that this instance admitted in the last window
 * @param others the tokens that other instances admitted in the last window, as far as known
 * @param weight this instance's share of the demand
 * @param instances the number of instances among which the allowance is divided
 * @param ageMillis the age of the oldest report that counts, in milliseconds
 */
public record QuotaState(
    double allowance,
    double usable,
    double own,
    double others,
    double weight,
    int instances,
    long ageMillis) {}
