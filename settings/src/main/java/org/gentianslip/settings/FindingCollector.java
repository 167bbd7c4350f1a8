package org.gentianslip.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Collects findings in the order in which they are reported, without duplicates.
 *
 * <p>Findings beyond {@value #MAX_FINDINGS} are only counted, which bounds the time and memory
 * spent on one set of documents. Not safe for use by several threads.
 */
final class FindingCollector {

  /** The maximum number of findings that are kept. */
  static final int MAX_FINDINGS = 1_000;

  /** The maximum number of findings for which the nearest known name is looked up. */
  private static final int MAX_SUGGESTIONS = 100;

  private final Set<Finding> findings = new LinkedHashSet<>();
  private int omitted;

  void add(Location location, String message) {
    if (findings.size() < MAX_FINDINGS) {
      findings.add(new Finding(location.source(), location.pointer(), message));
    } else {
      omitted++;
    }
  }

  /**
   * Adds a finding for an unknown name, with the nearest known one as a suggestion.
   *
   * @param type what the name identifies, such as {@code "region"}
   */
  void addUnknown(Location location, String type, String name, Collection<String> known) {
    Optional<String> nearest =
        findings.size() < MAX_SUGGESTIONS ? NearestName.of(name, known) : Optional.empty();
    add(
        location,
        "Unknown "
            + type
            + " "
            + Excerpt.of(name)
            + nearest.map(n -> "; the nearest known one is \"" + n + "\"").orElse(""));
  }

  boolean isEmpty() {
    return findings.isEmpty();
  }

  List<Finding> toList() {
    var all = new ArrayList<>(findings);
    if (omitted > 0) {
      Finding last = all.get(all.size() - 1);
      all.add(new Finding(last.source(), "", omitted + " more findings are left out"));
    }
    return List.copyOf(all);
  }
}
