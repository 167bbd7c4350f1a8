package org.gentianslip.standin.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An LRU cache of prompt prefixes, in blocks of tokens.
 *
 * <p>It holds at most {@code cacheTokens} tokens. The key of a block is the hash of the whole text
 * up to its end, so only prefixes from the beginning of a prompt match. Not safe for use by several
 * threads.
 */
final class PrefixCache {

  static final int BLOCK_TOKENS = 16;

  private static final int BLOCK_CHARACTERS = 64;

  private final int maxBlocks;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int cacheTokens) {
    this.maxBlocks = cacheTokens / BLOCK_TOKENS;
  }

  /** Returns the number of tokens of the prompt that were cached, and caches the prompt. */
  int lookUpAndAdd(String model, String prompt) {
    int cachedTokens = 0;
    boolean prefixCached = true;
    var stream = Hashing.komihash5_0().hashStream().putString(model);
    for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
      stream.putChars(prompt.subSequence(end - BLOCK_CHARACTERS, end));
      boolean blockCached = blocks.put(stream.getAsLong(), Boolean.TRUE) != null;
      prefixCached = prefixCached && blockCached;
      cachedTokens += prefixCached ? BLOCK_TOKENS : 0;
      evict();
    }
    return cachedTokens;
  }

  int tokens() {
    return blocks.size() * BLOCK_TOKENS;
  }

  private void evict() {
    while (blocks.size() > maxBlocks) {
      Map.Entry<Long, Boolean> eldest = blocks.entrySet().iterator().next();
      blocks.remove(eldest.getKey());
    }
  }
}
