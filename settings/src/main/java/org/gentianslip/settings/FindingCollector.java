package org.gentianslip.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Collects findings in the order in which they are made; equal ones count once.
 *
 * <p>Of more than {@value #MAX_FINDINGS}, the rest is counted only, so that the work and the memory
 * for a document are bounded. Not safe for use by several threads.
 */
final class FindingCollector {

  /** The greatest number of findings that are kept. */
  static final int MAX_FINDINGS = 1_000;

  /** The greatest number of findings for which the nearest known name is looked up. */
  private static final int MAX_SUGGESTIONS = 100;

  private final Set<Finding> findings = new LinkedHashSet<>();
  private int leftOut;

  void add(Place place, String message) {
    if (findings.size() < MAX_FINDINGS) {
      findings.add(new Finding(place.source(), place.pointer(), message));
    } else {
      leftOut++;
    }
  }

  /**
   * Adds that a name is not known, with the nearest known one.
   *
   * @param what what the name stands for, such as {@code "region"}
   */
  void addUnknown(Place place, String what, String name, Collection<String> known) {
    Optional<String> nearest =
        findings.size() < MAX_SUGGESTIONS ? NearestName.of(name, known) : Optional.empty();
    add(
        place,
        "Unknown "
            + what
            + " "
            + Excerpt.of(name)
            + nearest.map(n -> "; the nearest known one is \"" + n + "\"").orElse(""));
  }

  boolean isEmpty() {
    return findings.isEmpty();
  }

  List<Finding> toList() {
    var all = new ArrayList<>(findings);
    if (leftOut > 0) {
      Finding last = all.get(all.size() - 1);
      all.add(new Finding(last.source(), "", leftOut + " more findings are left out"));
    }
    return List.copyOf(all);
  }
}
