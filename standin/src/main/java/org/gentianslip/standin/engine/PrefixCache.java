package org.gentianslip.standin.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the prefixes of prompts in blocks and forgets the least recently used block first.
 *
 * <p>It holds at most {@code cacheTokens} tokens. A block is known by all the text up to its end,
 * so a prefix counts only from the beginning of the prompt. Not safe for use by several threads.
 */
final class PrefixCache {

  static final int BLOCK_TOKENS = 16;

  private static final int BLOCK_CHARACTERS = 64;

  private final int maxBlocks;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int cacheTokens) {
    this.maxBlocks = cacheTokens / BLOCK_TOKENS;
  }

  /** Returns how many tokens of the prompt are cached already, and caches the prompt. */
  int use(String model, String prompt) {
    int cached = 0;
    boolean hit = true;
    var stream = Hashing.komihash5_0().hashStream().putString(model);
    for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
      stream.putChars(prompt.subSequence(end - BLOCK_CHARACTERS, end));
      boolean known = blocks.put(stream.getAsLong(), Boolean.TRUE) != null;
      hit = hit && known;
      cached += hit ? BLOCK_TOKENS : 0;
      evict();
    }
    return cached;
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
