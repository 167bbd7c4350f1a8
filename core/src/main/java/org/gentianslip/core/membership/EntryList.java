package org.gentianslip.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.RegionId;

/**
 * Holds the instances that a caller is told to use, the best first.
 *
 * <p>All of them are live and in an allowed region. Instances with the same beliefs give a customer
 * the same order within a region, and a busy instance gives up a share of its customers in
 * proportion. Immutable and safe for use by several threads.
 *
 * @param entries the instances, the best first
 * @param validMillis how long the list may be used, in milliseconds
 */
public record EntryList(List<InstanceInfo> entries, long validMillis) {

  /** The greatest number of instances in a list. */
  public static final int MAX_ENTRIES = 8;

  /** How long a list may be used, in milliseconds. */
  public static final long VALID_MILLIS = 5_000;

  /** Steps of the busy share; smaller changes move no customer. */
  private static final int BUSY_STEPS = 8;

  /** Copies the instances. */
  public EntryList {
    entries = List.copyOf(entries);
  }

  /**
   * Chooses the instances for a customer.
   *
   * @param customer the customer
   * @param allowedRegions the regions that may see the customer's data
   * @param regionOrder the regions in the order of preference; others come last
   * @param candidates the instances with what is believed of them
   */
  public static EntryList choose(
      CustomerId customer,
      Set<RegionId> allowedRegions,
      List<RegionId> regionOrder,
      Collection<EntryCandidate> candidates) {
    Objects.requireNonNull(customer);
    Comparator<EntryCandidate> order =
        Comparator.comparingInt((EntryCandidate c) -> placeOf(c.info().region(), regionOrder))
            .thenComparing(c -> -weightOf(customer, c))
            .thenComparing(c -> c.info().id());
    List<InstanceInfo> entries =
        candidates.stream()
            .filter(c -> c.state() == InstanceState.LIVE)
            .filter(c -> allowedRegions.contains(c.info().region()))
            .sorted(order)
            .limit(MAX_ENTRIES)
            .map(EntryCandidate::info)
            .toList();
    return new EntryList(entries, VALID_MILLIS);
  }

  private static int placeOf(RegionId region, List<RegionId> order) {
    int place = order.indexOf(region);
    return place < 0 ? order.size() : place;
  }

  private static double weightOf(CustomerId customer, EntryCandidate c) {
    long busySteps = Math.round(c.busyShare() * BUSY_STEPS);
    double capacity = Math.max(1, BUSY_STEPS - busySteps);
    return RendezvousHash.weight(customer.value(), c.info().id().value(), capacity);
  }
}
