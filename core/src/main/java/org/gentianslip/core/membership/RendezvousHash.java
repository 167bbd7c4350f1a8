package org.gentianslip.core.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Computes the weights of keys and places for rendezvous hashing.
 *
 * <p>A key is assigned to the place with the highest weight. When a place is added or its capacity
 * changes, only keys that are assigned to it before or after the change move. Stateless and
 * thread-safe.
 */
public final class RendezvousHash {

  private static final Hasher64 HASHER = Hashing.komihash5_0();
  private static final double FRACTION_UNIT = 0x1.0p-52;

  private RendezvousHash() {}

  /** Returns the hash of a key and a place, uniformly distributed over all values. */
  public static long hash(String key, String place) {
    return HASHER.hashStream().putString(key).putString(place).getAsLong();
  }

  /** Returns a number between 0 and 1, both exclusive, that is derived from a hash. */
  public static double fraction(long hash) {
    return ((hash >>> 12) + 0.5) * FRACTION_UNIT;
  }

  /**
   * Returns the weight of a place for a key.
   *
   * <p>Places are assigned keys in proportion to their capacities.
   *
   * @param key the key
   * @param place the place
   * @param capacity the capacity of the place, greater than 0
   */
  public static double weight(String key, String place, double capacity) {
    return capacity / -Math.log(fraction(hash(key, place)));
  }
}
