package org.gentianslip.entry.gateway;

import org.gentianslip.core.hash.BitMixer;

/**
 * The requests that were sent on one connection, the latest {@link #CAPACITY} ones.
 *
 * <p>Ids are kept as hashes: a request that was sent is always found, and another one is mistaken
 * for it with negligible probability. Not thread-safe.
 */
final class SentRequests {

  /** The number of requests that are remembered. */
  static final int CAPACITY = 256;

  private final long[] hashes = new long[CAPACITY];
  private long count;

  /** Adds a request; the earliest one is forgotten if there are too many. */
  void add(String id) {
    hashes[(int) (count % CAPACITY)] = hash(id);
    count++;
  }

  /** Returns whether a request is among the latest ones. */
  boolean contains(String id) {
    long hash = hash(id);
    long known = Math.min(count, CAPACITY);
    for (int i = 0; i < known; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many requests were added. */
  long count() {
    return count;
  }

  private static long hash(String id) {
    long hash = id.length();
    for (int i = 0; i < id.length(); i++) {
      hash = BitMixer.mix(hash ^ id.charAt(i));
    }
    return hash;
  }
}
