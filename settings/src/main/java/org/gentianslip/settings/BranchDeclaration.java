package org.gentianslip.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A branch as declared in a document, before its parent is resolved.
 *
 * <p>All its values are allowed ones. Immutable and safe for use by several threads.
 *
 * @param location the location of the branch
 * @param id the id of the branch
 * @param parent the id of its parent, if it has one
 * @param level the attribute of requests that it matches
 * @param name the firm, region, kind or customer that it matches
 * @param values the values that it sets, with the location of each
 */
record BranchDeclaration(
    Location location,
    String id,
    Optional<String> parent,
    BranchLevel level,
    String name,
    Map<Setting<?>, Located<Object>> values) {

  BranchDeclaration {
    values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
  }
}
