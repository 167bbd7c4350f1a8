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
 * @param allUpTo the maximum number of other instances in a region that are all contacted at every
 *     tick
 * @param perTick the number of others contacted at each tick in a larger region
 * @param perRegionPair the number of instances of a region that keep contact with another region
 */
public record ContactPlan(
    InstanceId self, RegionId region, int allUpTo, int perTick, int perRegionPair) {

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is not positive
   */
  public ContactPlan {
    Objects.requireNonNull(self);
    Objects.requireNonNull(region);
    if (allUpTo < 1 || perTick < 1 || perRegionPair < 1) {
      throw new IllegalArgumentException(
          "Numbers must be positive: " + allUpTo + ", " + perTick + ", " + perRegionPair);
    }
  }

  /**
   * Returns the number of ticks within which an instance contacts all others of its region.
   *
   * @param others the number of other instances in the region
   */
  public int ticksPerTurn(int others) {
    return others <= allUpTo ? 1 : (others + perTick - 1) / perTick;
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
    List<InstanceId> own = byRegion.getOrDefault(region, new ArrayList<>());
    own.remove(self);
    List<InstanceId> contacts = new ArrayList<>(ownContacts(tick, own));
    byRegion.remove(region);
    byRegion.forEach(
        (other, there) -> {
          if (keepsContactWith(other, own)) {
            contacts.add(inTurn(there).get((int) Math.floorMod(tick, (long) there.size())));
          }
        });
    return contacts;
  }

  private List<InstanceId> ownContacts(long tick, List<InstanceId> others) {
    if (others.size() <= allUpTo) {
      return others;
    }
    List<InstanceId> turn = inTurn(others);
    List<InstanceId> contacts = new ArrayList<>();
    for (int i = 0; i < perTick; i++) {
      contacts.add(turn.get((int) Math.floorMod(tick * perTick + i, (long) turn.size())));
    }
    return contacts;
  }

  /**
   * Returns the instances in an order that differs between instances, so that contacts are spread
   * evenly.
   */
  private List<InstanceId> inTurn(List<InstanceId> ids) {
    List<InstanceId> sorted = new ArrayList<>(ids);
    sorted.sort(
        Comparator.comparingLong((InstanceId id) -> RendezvousHash.hash(self.value(), id.value()))
            .thenComparing(id -> id));
    return sorted;
  }

  private boolean keepsContactWith(RegionId other, List<InstanceId> othersHere) {
    long own = RendezvousHash.hash(other.value(), self.value());
    int before = 0;
    for (InstanceId id : othersHere) {
      if (Long.compareUnsigned(RendezvousHash.hash(other.value(), id.value()), own) > 0) {
        before++;
      }
    }
    return before < perRegionPair;
  }
}
