package org.gentianslip.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/**
 * Finds the known name that is closest to an unknown one. Stateless; safe for use by several
 * threads.
 */
final class NearestName {

  /** The maximum number of characters that are compared, which bounds the cost. */
  private static final int MAX_COMPARED = 128;

  private NearestName() {}

  /** Returns the known name with the smallest edit distance, ignoring case. */
  static Optional<String> of(String unknown, Collection<String> known) {
    String truncated = unknown.substring(0, Math.min(MAX_COMPARED, unknown.length()));
    String lower = truncated.toLowerCase(Locale.ROOT);
    return known.stream()
        .sorted()
        .min(Comparator.comparingInt(k -> editDistance(lower, k.toLowerCase(Locale.ROOT))));
  }

  /** Returns the Levenshtein distance between two texts. */
  private static int editDistance(String from, String to) {
    int[] previous = new int[to.length() + 1];
    for (int j = 0; j <= to.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= from.length(); i++) {
      int[] current = new int[to.length() + 1];
      current[0] = i;
      for (int j = 1; j <= to.length(); j++) {
        int substitution = previous[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(substitution, Math.min(previous[j], current[j - 1]) + 1);
      }
      previous = current;
    }
    return previous[to.length()];
  }
}
