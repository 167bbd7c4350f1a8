package org.gentianslip.burn.objective;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;

/**
 * A service-level objective: the share of requests that must meet a criterion.
 *
 * <p>An objective is either for a rank in a region or for a customer. Immutable and thread-safe.
 *
 * @param type the criterion
 * @param rank the rank, or empty if the objective is for a customer
 * @param region the region, or empty if the objective is for a customer
 * @param customer the customer, or empty if the objective is for a rank
 * @param share the share of requests that must meet the criterion, from 0 to 1
 * @param target the maximum time to the first token; zero for availability
 */
public record Objective(
    ObjectiveType type,
    Optional<Rank> rank,
    Optional<RegionId> region,
    Optional<CustomerId> customer,
    double share,
    Duration target) {

  /** Returns an objective for a rank in a region. */
  public static Objective forRank(
      ObjectiveType type, Rank rank, RegionId region, double share, Duration target) {
    return new Objective(
        type, Optional.of(rank), Optional.of(region), Optional.empty(), share, target);
  }

  /** Returns an availability objective for a customer. */
  public static Objective forCustomer(CustomerId customer, double share) {
    return new Objective(
        ObjectiveType.AVAILABILITY,
        Optional.empty(),
        Optional.empty(),
        Optional.of(customer),
        share,
        Duration.ZERO);
  }

  /** Returns the error budget: the share of requests that may miss the criterion, from 0 to 1. */
  public double errorBudgetShare() {
    return 1 - share;
  }

  /** Returns a readable name, such as {@code "urgent in graz: first token"}. */
  public String name() {
    String scope =
        customer
            .map(id -> "customer " + id)
            .orElseGet(() -> label(rank.orElseThrow()) + " in " + region.orElseThrow());
    return scope + ": " + (type == ObjectiveType.AVAILABILITY ? "availability" : "first token");
  }

  private static String label(Rank rank) {
    return rank.name().toLowerCase(Locale.ROOT);
  }
}
