package org.gentianslip.burn.objective;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;

/**
 * A share of requests that is to end well.
 *
 * <p>Invariant: it is for a rank in a region or for a customer. Immutable and safe for use by
 * several threads.
 *
 * @param type what is counted
 * @param rank the rank, unless it is for a customer
 * @param region the region, unless it is for a customer
 * @param customer the customer, unless it is for a rank
 * @param share the share that is to end well, from 0 to 1
 * @param target the time that counts as in time
 */
public record Objective(
    ObjectiveType type,
    Optional<Rank> rank,
    Optional<RegionId> region,
    Optional<CustomerId> customer,
    double share,
    Duration target) {

  /** Returns the objective of a rank in a region. */
  public static Objective ofRank(
      ObjectiveType type, Rank rank, RegionId region, double share, Duration target) {
    return new Objective(
        type, Optional.of(rank), Optional.of(region), Optional.empty(), share, target);
  }

  /** Returns the availability objective of a customer. */
  public static Objective ofCustomer(CustomerId customer, double share) {
    return new Objective(
        ObjectiveType.AVAILABILITY,
        Optional.empty(),
        Optional.empty(),
        Optional.of(customer),
        share,
        Duration.ZERO);
  }

  /** Returns the share of requests that may end badly, from 0 to 1. */
  public double allowedBadShare() {
    return 1 - share;
  }

  /** Returns a name such as {@code "urgent in graz: first token"}. */
  public String name() {
    String scope =
        customer
            .map(c -> "customer " + c)
            .orElseGet(() -> label(rank.orElseThrow()) + " in " + region.orElseThrow());
    return scope + ": " + (type == ObjectiveType.AVAILABILITY ? "availability" : "first token");
  }

  private static String label(Rank rank) {
    return rank.name().toLowerCase(Locale.ROOT);
  }
}
