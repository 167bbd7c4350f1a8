package org.gentianslip.load.work;

import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;

/**
 * One part of a mix: a customer's calls of one kind and action.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param customer the customer that calls
 * @param key the customer's key
 * @param kind the kind of work
 * @param rank the rank that the settings give to the kind
 * @param action what the call does
 * @param target the model's name, or the service and path below {@code /services/}
 * @param weight the share's weight within its mix, above 0
 * @param sharedCharacters the length of the prompt's prefix that calls share, in characters
 * @param maxTokens the length of the answer, in tokens
 */
public record WorkShare(
    CustomerId customer,
    String key,
    KindId kind,
    Rank rank,
    ActionType action,
    String target,
    double weight,
    int sharedCharacters,
    int maxTokens) {

  /**
   * Checks the share's weight and lengths.
   *
   * @throws IllegalArgumentException if one of them is out of range
   */
  public WorkShare {
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight must be above 0, but is " + weight);
    }
    if (sharedCharacters < 0) {
      throw new IllegalArgumentException(
          "sharedCharacters must not be negative, but is " + sharedCharacters);
    }
    if (action.isModel() && maxTokens < 1) {
      throw new IllegalArgumentException("maxTokens must be at least 1, but is " + maxTokens);
    }
  }

  /** Returns a share of calls of another action and length, without a shared prefix. */
  public WorkShare withAction(ActionType other, int tokens) {
    return new WorkShare(customer, key, kind, rank, other, target, 1, 0, tokens);
  }
}
