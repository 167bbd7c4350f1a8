package org.gentianslip.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.RegionId;

/**
 * The instances that a caller should use, the best first.
 *
 * <p>All of them are believed to be live and are in an allowed region. Instances with the same
 * beliefs put the entries of one region in the same order for a customer. The busier an instance
 * is, the fewer customers have it as their first choice. Immutable and thread-safe.
 *
 * @param entries the instances, the best first
 * @param validMillis how long the list may be used, in milliseconds
 */
public record EntryList(List<InstanceInfo> entries, long validMillis) {

  /** The maximum number of instances in a list. */
  public static final int MAX_ENTRIES = 8;

  /** How long a list may be used, in milliseconds. */
  public static final long VALID_MILLIS = 5_000;

  /**
   * The number of steps to which the busy share is rounded, so that small changes move no customer.
   */
  private static final int BUSY_STEPS = 8;

  /** Creates a list with a copy of the instances. */
  public EntryList {
    entries = List.copyOf(entries);
  }

  /**
   * Selects the instances for a customer.
   *
   * @param customer the customer
   * @param allowedRegions the regions that may receive the customer's data
   * @param regionOrder the regions in the order of preference; all other regions come last
   * @param candidates the instances with their believed states
   */
  public static EntryList choose(
      CustomerId customer,
      Set<RegionId> allowedRegions,
      List<RegionId> regionOrder,
      Collection<EntryCandidate> candidates) {
    Objects.requireNonNull(customer);
    Comparator<EntryCandidate> order =
        Comparator.comparingInt((EntryCandidate c) -> preferenceOf(c.info().region(), regionOrder))
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

  private static int preferenceOf(RegionId region, List<RegionId> order) {
    int index = order.indexOf(region);
    return index < 0 ? order.size() : index;
  }

  private static double weightOf(CustomerId customer, EntryCandidate c) {
    long busySteps = Math.round(c.busyShare() * BUSY_STEPS);
    double capacity = Math.max(1, BUSY_STEPS - busySteps);
    return RendezvousHash.weight(customer.value(), c.info().id().value(), capacity);
  }
}
