package org.gentianslip.core.hash;

/** Mixes the bits of numbers. Stateless and safe for use by several threads. */
public final class BitMixer {

  private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

  private BitMixer() {}

  /** Returns a number whose bits all depend on all bits of the value. */
  public static long mix(long value) {
    long bits = value + GOLDEN_RATIO;
    bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
    return bits ^ (bits >>> 31);
  }

  /** Returns the score of a member for a key; the member with the greatest score comes first. */
  public static long rendezvous(long key, String member) {
    return mix(key ^ mix(member.hashCode()));
  }
}
