package org.gentianslip.core.load;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;
import org.gentianslip.core.membership.RendezvousHash;

/**
 * Places keys at members, so that few keys move when a member comes or goes.
 *
 * <p>Looking up a key takes a time that grows with the logarithm of the members. Immutable and safe
 * for use by several threads.
 */
final class HashRing {

  /** The points of the largest member; the shares of members of one size differ by a quarter. */
  private static final int POINTS = 16;

  private final long[] points;
  private final int[] owners;

  private record Point(long hash, int owner) {}

  /**
   * Creates a ring.
   *
   * @param names the members' names
   * @param capacities their capacities, each greater than 0, in the same order
   */
  HashRing(List<String> names, int[] capacities) {
    int largest = Arrays.stream(capacities).max().orElse(1);
    Point[] all = new Point[POINTS * names.size()];
    int count = 0;
    for (int i = 0; i < names.size(); i++) {
      int own = Math.max(1, POINTS * capacities[i] / largest);
      for (int k = 0; k < own; k++) {
        all[count++] = new Point(RendezvousHash.hash(names.get(i), Integer.toString(k)), i);
      }
    }
    Arrays.sort(all, 0, count, (a, b) -> Long.compare(a.hash(), b.hash()));
    points = new long[count];
    owners = new int[count];
    for (int i = 0; i < count; i++) {
      points[i] = all[i].hash();
      owners[i] = all[i].owner();
    }
  }

  /**
   * Returns the index of the first member from a key's place on that is accepted, or -1.
   *
   * @param most how many points are looked at
   */
  int find(String key, int most, IntPredicate accepted) {
    int found = Arrays.binarySearch(points, RendezvousHash.hash(key, ""));
    int start = found >= 0 ? found : -found - 1;
    int last = -1;
    for (int i = 0; i < Math.min(most, points.length); i++) {
      int owner = owners[(start + i) % points.length];
      if (owner != last && accepted.test(owner)) {
        return owner;
      }
      last = owner;
    }
    return -1;
  }
}
