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
 * Decides whom an instance contacts at a tick.
 *
 * <p>In a small region each contacts all at every tick. In a larger one each contacts a fixed
 * number, in turn, so that within {@code ceil(size / number)} ticks it has contacted everyone. To
 * every other region only a few instances keep contact, chosen by rendezvous hash, each with one
 * instance there in turn. Immutable and safe for use by several threads.
 *
 * @param self the instance
 * @param region its region
 * @param allUpTo the greatest number of others in the region that are all contacted at every tick
 * @param perTick the others contacted at each tick in a larger region
 * @param perRegionPair the instances of a region that keep contact with another region
 */
public record ContactPlan(
    InstanceId self, RegionId region, int allUpTo, int perTick, int perRegionPair) {

  /**
   * Checks the numbers.
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
   * Returns the ticks in which an instance contacts all others of its region.
   *
   * @param others the number of the others
   */
  public int ticksPerTurn(int others) {
    return others <= allUpTo ? 1 : (others + perTick - 1) / perTick;
  }

  /**
   * Returns the instances to contact at a tick.
   *
   * @param tick the number of the tick
   * @param known all instances that are listed or were heard of, also silent ones
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

  /** Returns the instances in an order of this instance's own, so that loads spread evenly. */
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
