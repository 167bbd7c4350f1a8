package org.gentianslip.core.revision;

import java.util.Collection;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.membership.RendezvousHash;

/**
 * Selects the instances that watch the config service directly.
 *
 * <p>In a small fleet, all instances watch. In a large fleet, a few instances of each region,
 * selected by rendezvous hashing, watch and inform the others. If instances have different views of
 * the fleet, more instances may watch, but there is always at least one: an instance that believes
 * that all others are gone watches. Stateless and thread-safe.
 */
public final class WatcherSelection {

  private static final String KEY = "watch-settings";

  private final int allWatchUpTo;
  private final int watchersPerRegion;

  /**
   * Creates a selection.
   *
   * @param allWatchUpTo the maximum size of a fleet in which all instances watch
   * @param watchersPerRegion the number of watchers of each region in a larger fleet, at least 1
   * @throws IllegalArgumentException if {@code watchersPerRegion} is not positive
   */
  public WatcherSelection(int allWatchUpTo, int watchersPerRegion) {
    if (watchersPerRegion < 1) {
      throw new IllegalArgumentException(
          "Watchers per region must be at least 1: " + watchersPerRegion);
    }
    this.allWatchUpTo = allWatchUpTo;
    this.watchersPerRegion = watchersPerRegion;
  }

  /**
   * Returns whether an instance watches the config service directly.
   *
   * @param self the instance
   * @param liveInRegion the instances of its region that it believes to be live
   * @param fleetSize the number of instances of all regions
   */
  public boolean watches(InstanceId self, Collection<InstanceId> liveInRegion, int fleetSize) {
    if (fleetSize <= allWatchUpTo) {
      return true;
    }
    long ownWeight = weightOf(self);
    int higherRanked = 0;
    for (InstanceId other : liveInRegion) {
      int order = Long.compareUnsigned(weightOf(other), ownWeight);
      if (order > 0 || (order == 0 && other.compareTo(self) > 0)) {
        higherRanked++;
      }
    }
    return higherRanked < watchersPerRegion;
  }

  private static long weightOf(InstanceId id) {
    return RendezvousHash.hash(KEY, id.value());
  }
}
