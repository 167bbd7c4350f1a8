package org.gentianslip.settings;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects findings in the order in which they are made; equal ones count once.
 *
 * <p>Not safe for use by several threads.
 */
final class FindingCollector {

  private final Set<Finding> findings = new LinkedHashSet<>();

  void add(Place place, String message) {
    findings.add(new Finding(place.source(), place.pointer(), message));
  }

  boolean isEmpty() {
    return findings.isEmpty();
  }

  List<Finding> toList() {
    return List.copyOf(findings);
  }
}
