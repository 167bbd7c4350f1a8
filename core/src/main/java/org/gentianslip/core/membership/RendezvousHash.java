package org.gentianslip.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Weighs pairs of a key and a place for rendezvous hashing.
 *
 * <p>The place with the greatest weight holds the key. When a place is added or its capacity
 * changes, only keys of that place move. Stateless and safe for use by several threads.
 */
public final class RendezvousHash {

  private static final Hasher64 HASHER = Hashing.komihash5_0();
  private static final double UNIT = 0x1.0p-52;

  private RendezvousHash() {}

  /** Returns the hash of a key and a place, evenly spread over all values. */
  public static long hash(String key, String place) {
    return HASHER.hashStream().putString(key).putString(place).getAsLong();
  }

  /** Returns a number between 0 and 1, both excluded, from a hash. */
  public static double fraction(long hash) {
    return ((hash >>> 12) + 0.5) * UNIT;
  }

  /**
   * Returns the weight of a place for a key; a place holds keys in proportion to its capacity.
   *
   * @param key the key
   * @param place the place
   * @param capacity the capacity of the place, greater than 0
   */
  public static double weight(String key, String place, double capacity) {
    return capacity / -Math.log(fraction(hash(key, place)));
  }
}
