package org.gentianslip.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;

/**
 * Selects the instances that an instance contacts at each tick.
 *
 * <p>In a small region, each instance contacts all others at every tick. In a larger region, it
 * contacts a fixed number of others in turn, so that within {@code ceil(size / number)} ticks it
 * has contacted all of them. For every other region, a few instances selected by rendezvous hashing
 * keep contact; each of them contacts one instance of that region per tick, in turn. Immutable and
 * thread-safe.
 *
 * @param self the instance that contacts others
 * @param region its region
 * @param contactAllUpTo the maximum number of other instances in a region that are all contacted at
 *     every tick
 * @param contactsPerTick the number of others contacted at each tick in a larger region
 * @param contactsPerRegion the number of instances of a region that keep contact with another
 *     region
 */
public record ContactPlan(
    InstanceId self,
    RegionId region,
    int contactAllUpTo,
    int contactsPerTick,
    int contactsPerRegion) {

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is not positive
   */
  public ContactPlan {
    Objects.requireNonNull(self);
    Objects.requireNonNull(region);
    if (contactAllUpTo < 1 || contactsPerTick < 1 || contactsPerRegion < 1) {
      throw new IllegalArgumentException(
          "Numbers of contacts must be positive: "
              + contactAllUpTo
              + ", "
              + contactsPerTick
              + ", "
              + contactsPerRegion);
    }
  }

  /**
   * Returns the number of ticks within which an instance contacts all others of its region.
   *
   * @param others the number of other instances in the region
   */
  public int ticksPerRound(int others) {
    return others <= contactAllUpTo ? 1 : (others + contactsPerTick - 1) / contactsPerTick;
  }

  /**
   * Returns the instances to contact at a tick.
   *
   * @param tick the number of the tick
   * @param known all instances that are listed or known from peers, including silent ones
   */
  public List<InstanceId> contactsAt(long tick, Collection<InstanceInfo> known) {
    Map<RegionId, List<InstanceId>> byRegion = new TreeMap<>();
    for (InstanceInfo i : known) {
      byRegion.computeIfAbsent(i.region(), r -> new ArrayList<>()).add(i.id());
    }
    List<InstanceId> localOthers = byRegion.getOrDefault(region, new ArrayList<>());
    localOthers.remove(self);
    List<InstanceId> contacts = new ArrayList<>(localContacts(tick, localOthers));
    byRegion.remove(region);
    byRegion.forEach(
        (remote, remoteIds) -> {
          if (isContactFor(remote, localOthers)) {
            contacts.add(
                inOwnOrder(remoteIds).get((int) Math.floorMod(tick, (long) remoteIds.size())));
          }
        });
    return contacts;
  }

  private List<InstanceId> localContacts(long tick, List<InstanceId> others) {
    if (others.size() <= contactAllUpTo) {
      return others;
    }
    List<InstanceId> ordered = inOwnOrder(others);
    List<InstanceId> contacts = new ArrayList<>();
    for (int i = 0; i < contactsPerTick; i++) {
      contacts.add(
          ordered.get((int) Math.floorMod(tick * contactsPerTick + i, (long) ordered.size())));
    }
    return contacts;
  }

  /**
   * Returns the instances in an order that differs between instances, so that contacts are spread
   * evenly.
   */
  private List<InstanceId> inOwnOrder(List<InstanceId> ids) {
    List<InstanceId> sorted = new ArrayList<>(ids);
    sorted.sort(
        Comparator.comparingLong((InstanceId id) -> RendezvousHash.hash(self.value(), id.value()))
            .thenComparing(id -> id));
    return sorted;
  }

  private boolean isContactFor(RegionId remote, List<InstanceId> othersHere) {
    long ownWeight = RendezvousHash.hash(remote.value(), self.value());
    int higherRanked = 0;
    for (InstanceId id : othersHere) {
      if (Long.compareUnsigned(RendezvousHash.hash(remote.value(), id.value()), ownWeight) > 0) {
        higherRanked++;
      }
    }
    return higherRanked < contactsPerRegion;
  }
}
