package org.gentianslip.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Finds the known name that is most like an unknown one. Stateless; safe for several threads. */
final class NearestName {

  /** The greatest number of characters that are compared. */
  private static final int MAX_COMPARED = 128;

  private NearestName() {}

  /** Returns the known name with the least edit distance, and the first of equals. */
  static Optional<String> of(String unknown, Collection<String> known) {
    String start = unknown.substring(0, Math.min(MAX_COMPARED, unknown.length()));
    String lower = start.toLowerCase(Locale.ROOT);
    return known.stream()
        .sorted()
        .min(Comparator.comparingInt(k -> distance(lower, k.toLowerCase(Locale.ROOT))));
  }

  /** Returns the number of insertions, deletions and replacements between two texts. */
  private static int distance(String from, String to) {
    int[] previous = new int[to.length() + 1];
    for (int j = 0; j <= to.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= from.length(); i++) {
      int[] current = new int[to.length() + 1];
      current[0] = i;
      for (int j = 1; j <= to.length(); j++) {
        int replaced = previous[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(replaced, Math.min(previous[j], current[j - 1]) + 1);
      }
      previous = current;
    }
    return previous[to.length()];
  }
}
