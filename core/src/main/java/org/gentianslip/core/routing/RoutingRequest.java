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
 * Describes a model request to the routing policy; it holds no payload.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the request
 * @param customer the customer that the caller acts for
 * @param kind the kind of work
 * @param rank the rank that the settings give to the kind
 * @param model the model that must answer
 * @param prefixDigest a keyed hash of the start of the prompt; equal prefixes have equal digests
 * @param promptTokens the estimated length of the prompt, in tokens
 * @param maxTokens the greatest length of the answer, in tokens
 * @param arrivedNanos when the entry admitted the request, in nanoseconds of the monotonic clock
 * @param deadlineNanos when the first token must be out, in nanoseconds of the monotonic clock
 * @param allowedRegions the regions that may see the payload
 * @param forwarded whether another instance sent the request here; such a request stays here
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
   * Checks and copies the parts.
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

  /** Returns the same request with another time by which its first token must be out. */
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
