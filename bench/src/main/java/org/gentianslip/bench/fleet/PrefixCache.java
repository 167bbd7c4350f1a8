package org.gentianslip.bench.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Holds prefixes up to a number of tokens and evicts the least recently used one. For one thread.
 */
final class PrefixCache {

  private static final float LOAD_FACTOR = 0.75f;

  private final int maxTokens;
  private final Map<Long, Integer> tokens = new LinkedHashMap<>(64, LOAD_FACTOR, true);
  private int sum;

  PrefixCache(int maxTokens) {
    this.maxTokens = maxTokens;
  }

  boolean use(long prefix) {
    return tokens.get(prefix) != null;
  }

  void put(long prefix, int length) {
    Integer before = tokens.put(prefix, length);
    sum += length - (before == null ? 0 : before);
    Iterator<Integer> eldest = tokens.values().iterator();
    while (sum > maxTokens && eldest.hasNext()) {
      sum -= eldest.next();
      eldest.remove();
    }
  }

  void clear() {
    tokens.clear();
    sum = 0;
  }
}
