package org.gentianslip.settings;

import java.util.Optional;

/**
 * A branch of the settings tree.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the branch
 * @param parent the id of its parent, which only a branch of level firm lacks
 * @param depth the number of its ancestors
 * @param level the attribute of requests that it matches
 * @param scope the requests that it and all its ancestors match
 */
public record Branch(
    String id, Optional<String> parent, int depth, BranchLevel level, Scope scope) {}
