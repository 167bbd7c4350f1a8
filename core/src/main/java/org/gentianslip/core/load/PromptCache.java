package org.gentianslip.core.load;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A model of an engine's prompt cache, derived from the prompts that were sent to the engine.
 *
 * <p>The least recently used parts are evicted first. Not thread-safe.
 */
final class PromptCache {

  private final Map<String, Long> parts = new LinkedHashMap<>(16, 0.75f, true);
  private final long capacityTokens;
  private long tokens;

  PromptCache(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /**
   * Returns the number of tokens of a prompt that the engine would have to prefill: all tokens from
   * the first part on that is not cached.
   */
  long uncachedTokens(List<PromptPart> prompt) {
    long uncached = 0;
    boolean afterMiss = false;
    for (PromptPart part : prompt) {
      afterMiss = afterMiss || !parts.containsKey(part.id());
      uncached += afterMiss ? part.tokens() : 0;
    }
    return uncached;
  }

  /** Records that the engine has prefilled the given parts, and evicts old parts if necessary. */
  void record(List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      Long previous = parts.put(part.id(), part.tokens());
      tokens += part.tokens() - (previous == null ? 0 : previous);
    }
    Iterator<Long> oldest = parts.values().iterator();
    while (tokens > capacityTokens && oldest.hasNext()) {
      tokens -= oldest.next();
      oldest.remove();
    }
  }

  void clear() {
    parts.clear();
    tokens = 0;
  }
}
