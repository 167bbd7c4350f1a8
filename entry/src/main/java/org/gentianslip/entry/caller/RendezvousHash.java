package org.gentianslip.entry.caller;

import com.dynatrace.hash4j.hashing.Hashing;

/** Weighs places for a key, alike at every instance. Stateless and safe for several threads. */
public final class RendezvousHash {

  private RendezvousHash() {}

  /** Returns the weight of a place for a key; the greatest weight wins. */
  public static long weight(String key, String place) {
    return Hashing.komihash5_0().hashStream().putString(key).putString(place).getAsLong();
  }
}
