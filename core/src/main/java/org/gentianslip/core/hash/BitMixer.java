package org.gentianslip.core.hash;

/**
 * Mixes the bits of 64-bit numbers, as the SplitMix64 generator does. Stateless and thread-safe.
 */
public final class BitMixer {

  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  private BitMixer() {}

  /** Returns a number of which every bit depends on all bits of the value. */
  public static long mix(long value) {
    long bits = value + GOLDEN_RATIO;
    bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
    return bits ^ (bits >>> 31);
  }

  /**
   * Returns the rendezvous-hashing score of a member for a key; members are ordered by descending
   * score.
   */
  public static long rendezvousScore(long key, String member) {
    return mix(key ^ mix(member.hashCode()));
  }
}
