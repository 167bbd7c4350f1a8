package org.gentianslip.entry.published;

/**
 * The names of the fields that describe a customer. Immutable and thread-safe.
 *
 * @param id the id
 * @param keys the list of keys
 * @param rank the rank
 * @param regions the list of allowed regions
 * @param rate the sustained rate of the quota, in tokens per second; 0 for no quota
 * @param burst the tokens allowed in addition to the rate
 * @param plainTokens the tokens of a request that states none
 * @param unit the unit of the quota
 * @param tokenUnit the value of {@code unit} if requests count as their tokens
 */
public record CustomerFieldNames(
    String id,
    String keys,
    String rank,
    String regions,
    String rate,
    String burst,
    String plainTokens,
    String unit,
    String tokenUnit) {}
