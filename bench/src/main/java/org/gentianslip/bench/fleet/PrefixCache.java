package org.gentianslip.bench.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** A least-recently-used cache of prompt prefixes with a capacity in tokens. Not thread-safe. */
final class PrefixCache {

  private static final float LOAD_FACTOR = 0.75f;

  private final int maxTokens;
  private final Map<Long, Integer> tokensByPrefix = new LinkedHashMap<>(64, LOAD_FACTOR, true);
  private int usedTokens;

  PrefixCache(int maxTokens) {
    this.maxTokens = maxTokens;
  }

  boolean lookUp(long prefix) {
    return tokensByPrefix.get(prefix) != null;
  }

  void put(long prefix, int tokens) {
    Integer previous = tokensByPrefix.put(prefix, tokens);
    usedTokens += tokens - (previous == null ? 0 : previous);
    Iterator<Integer> leastRecentlyUsed = tokensByPrefix.values().iterator();
    while (usedTokens > maxTokens && leastRecentlyUsed.hasNext()) {
      usedTokens -= leastRecentlyUsed.next();
      leastRecentlyUsed.remove();
    }
  }

  void clear() {
    tokensByPrefix.clear();
    usedTokens = 0;
  }
}
