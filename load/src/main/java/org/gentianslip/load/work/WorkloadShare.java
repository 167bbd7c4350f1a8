package org.gentianslip.load.work;

import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.Rank;

/**
 * A share of a workload: the calls of one customer with the same kind and operation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param customer the customer that makes the calls
 * @param key the API key of the customer
 * @param kind the kind of work
 * @param rank the rank that the settings assign to the kind
 * @param action the operation of the calls
 * @param target the name of the model, or the service and path below {@code /services/}
 * @param weight the relative weight within the workload, above 0
 * @param sharedCharacters the length of the prompt prefix that calls have in common, in characters
 * @param maxTokens the length of the answer, in tokens; at least 1 for models
 */
public record WorkloadShare(
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
   * Validates the weight and the lengths.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public WorkloadShare {
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

  /** Returns a share with another operation and answer length, weight 1 and no shared prefix. */
  public WorkloadShare withAction(ActionType other, int tokens) {
    return new WorkloadShare(customer, key, kind, rank, other, target, 1, 0, tokens);
  }
}
