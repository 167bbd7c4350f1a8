package org.gentianslip.core.load;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;
import org.gentianslip.core.membership.RendezvousHash;

/**
 * A consistent-hash ring: maps keys to members so that few keys move when a member joins or leaves.
 *
 * <p>The time to look up a key grows with the logarithm of the number of members. Immutable and
 * thread-safe.
 */
final class HashRing {

  /**
   * The number of points of the member with the largest capacity. With 16 points, the shares of
   * members of equal capacity differ by about a quarter.
   */
  private static final int MAX_POINTS_PER_MEMBER = 16;

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
    Point[] ringPoints = new Point[MAX_POINTS_PER_MEMBER * names.size()];
    int count = 0;
    for (int i = 0; i < names.size(); i++) {
      int pointCount = Math.max(1, MAX_POINTS_PER_MEMBER * capacities[i] / largest);
      for (int k = 0; k < pointCount; k++) {
        ringPoints[count++] = new Point(RendezvousHash.hash(names.get(i), Integer.toString(k)), i);
      }
    }
    Arrays.sort(ringPoints, 0, count, (a, b) -> Long.compare(a.hash(), b.hash()));
    points = new long[count];
    owners = new int[count];
    for (int i = 0; i < count; i++) {
      points[i] = ringPoints[i].hash();
      owners[i] = ringPoints[i].owner();
    }
  }

  /**
   * Returns the index of the first accepted member at or after the position of a key, or -1.
   *
   * @param key the key
   * @param maxProbes the maximum number of points to examine
   * @param accepted accepts the index of a member
   */
  int find(String key, int maxProbes, IntPredicate accepted) {
    int found = Arrays.binarySearch(points, RendezvousHash.hash(key, ""));
    int start = found >= 0 ? found : -found - 1;
    int rejected = -1;
    for (int i = 0; i < Math.min(maxProbes, points.length); i++) {
      int owner = owners[(start + i) % points.length];
      if (owner != rejected && accepted.test(owner)) {
        return owner;
      }
      rejected = owner;
    }
    return -1;
  }
}
