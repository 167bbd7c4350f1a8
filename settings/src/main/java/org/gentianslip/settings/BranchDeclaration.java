package org.gentianslip.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds a branch as a document declares it, before its parent is known.
 *
 * <p>It holds allowed values only. Immutable and safe for use by several threads.
 *
 * @param place the place of the branch
 * @param id the id of the branch
 * @param parent the id of its parent
 * @param level what it distinguishes requests by
 * @param name the firm, region, kind or customer
 * @param values the values that it sets, with the place of each
 */
record BranchDeclaration(
    Place place,
    String id,
    Optional<String> parent,
    BranchLevel level,
    String name,
    Map<Setting<?>, Located<Object>> values) {

  BranchDeclaration {
    values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
  }
}
