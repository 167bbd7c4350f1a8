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
  long missingTokens(List<PromptPart> prompt) {
    long missing = 0;
    boolean reading = false;
    for (PromptPart part : prompt) {
      reading = reading || !parts.containsKey(part.id());
      missing += reading ? part.tokens() : 0;
    }
    return missing;
  }

  /** Records that the engine has prefilled the given parts, and evicts old parts if necessary. */
  void note(List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      Long before = parts.put(part.id(), part.tokens());
      tokens += part.tokens() - (before == null ? 0 : before);
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
