package org.gentianslip.core.routing;

import java.util.Objects;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.ModelId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.RequestId;

/**
 * A model request as the routing policy sees it, without its payload.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the request
 * @param customer the customer that the caller acts for
 * @param kind the kind of work
 * @param rank the rank that the settings assign to the kind
 * @param model the requested model
 * @param prefixDigest a keyed hash of the start of the prompt; equal prefixes have equal digests
 * @param promptTokens the estimated length of the prompt, in tokens
 * @param maxTokens the maximum length of the answer, in tokens
 * @param arrivedNanos when the gateway admitted the request, in nanoseconds of the monotonic clock
 * @param deadlineNanos when the first token of the answer is due, in nanoseconds of the monotonic
 *     clock
 * @param allowedRegions the regions that may receive the payload
 * @param forwarded whether another instance forwarded the request; such a request is not forwarded
 *     again
 */
public record RoutingRequest(
    RequestId id,
    CustomerId customer,
    KindId kind,
    Rank rank,
    ModelId model,
    long prefixDigest,
    int promptTokens,
    int maxTokens,
    long arrivedNanos,
    long deadlineNanos,
    Set<RegionId> allowedRegions,
    boolean forwarded) {

  /**
   * Validates and copies the components.
   *
   * @throws IllegalArgumentException if a token count is negative
   */
  public RoutingRequest {
    Objects.requireNonNull(id);
    Objects.requireNonNull(customer);
    Objects.requireNonNull(kind);
    Objects.requireNonNull(rank);
    Objects.requireNonNull(model);
    allowedRegions = Set.copyOf(allowedRegions);
    if (promptTokens < 0 || maxTokens < 0) {
      throw new IllegalArgumentException(
          "Token counts must not be negative: " + promptTokens + ", " + maxTokens);
    }
  }

  /**
   * Returns a copy with another deadline of the first token, in nanoseconds of the monotonic clock.
   */
  public RoutingRequest withDeadline(long nanos) {
    return new RoutingRequest(
        id,
        customer,
        kind,
        rank,
        model,
        prefixDigest,
        promptTokens,
        maxTokens,
        arrivedNanos,
        nanos,
        allowedRegions,
        forwarded);
  }
}
