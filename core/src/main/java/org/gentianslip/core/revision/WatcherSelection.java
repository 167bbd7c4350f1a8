package org.gentianslip.core.revision;

import java.util.Collection;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.membership.RendezvousHash;

/**
 * Decides which instances watch the config service themselves.
 *
 * <p>In a small fleet all do; in a large one the same few of each region by rendezvous hash, and
 * the others hear from them. Instances with different views may choose more watchers, never none:
 * whoever believes that all others are gone watches. Stateless and safe for use by several threads.
 */
public final class WatcherSelection {

  private static final String KEY = "watch-settings";

  private final int allUpTo;
  private final int perRegion;

  /**
   * Makes the selection.
   *
   * @param allUpTo the greatest size of a fleet in which all instances watch
   * @param perRegion the watchers of each region in a larger fleet, at least 1
   * @throws IllegalArgumentException if {@code perRegion} is not positive
   */
  public WatcherSelection(int allUpTo, int perRegion) {
    if (perRegion < 1) {
      throw new IllegalArgumentException("Watchers must be at least 1: " + perRegion);
    }
    this.allUpTo = allUpTo;
    this.perRegion = perRegion;
  }

  /**
   * Returns whether an instance watches.
   *
   * @param self the instance
   * @param liveInRegion the instances of its region that it believes to be live
   * @param fleetSize the instances of all regions
   */
  public boolean watches(InstanceId self, Collection<InstanceId> liveInRegion, int fleetSize) {
    if (fleetSize <= allUpTo) {
      return true;
    }
    long own = weightOf(self);
    int before = 0;
    for (InstanceId other : liveInRegion) {
      int order = Long.compareUnsigned(weightOf(other), own);
      if (order > 0 || (order == 0 && other.compareTo(self) > 0)) {
        before++;
      }
    }
    return before < perRegion;
  }

  private static long weightOf(InstanceId id) {
    return RendezvousHash.hash(KEY, id.value());
  }
}
