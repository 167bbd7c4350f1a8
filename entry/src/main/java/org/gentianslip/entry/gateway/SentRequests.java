package org.gentianslip.entry.gateway;

import java.util.BitSet;
import org.gentianslip.core.hash.BitMixer;

/**
 * The requests that were sent on one connection, the latest {@link #CAPACITY} ones, and which of
 * them were HEAD requests.
 *
 * <p>Ids are kept as hashes: a request that was sent is always found, and another one is mistaken
 * for it with negligible probability. Not thread-safe.
 */
final class SentRequests {

  /** The number of requests that are remembered. */
  static final int CAPACITY = 256;

  private final long[] hashes = new long[CAPACITY];
  private final BitSet heads = new BitSet(CAPACITY);
  private long count;

  /** Adds a request; the earliest one is forgotten if there are too many. */
  void add(String id, boolean head) {
    int index = (int) (count % CAPACITY);
    hashes[index] = hash(id);
    heads.set(index, head);
    count++;
  }

  /** Returns whether a request is among the latest ones. */
  boolean contains(String id) {
    return indexOf(id) >= 0;
  }

  /** Returns whether a request is among the latest ones and was a HEAD request. */
  boolean containsHead(String id) {
    int index = indexOf(id);
    return index >= 0 && heads.get(index);
  }

  /** Returns where a request is kept, or -1 if it is not. */
  private int indexOf(String id) {
    long hash = hash(id);
    long known = Math.min(count, CAPACITY);
    for (int i = 0; i < known; i++) {
      if (hashes[i] == hash) {
        return i;
      }
    }
    return -1;
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
