package org.gentianslip.settings;

import java.util.Optional;

/**
 * Describes a branch of the settings tree.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the id of the branch
 * @param parent the id of its parent; only a branch of a firm has none
 * @param depth the number of its ancestors
 * @param level what it distinguishes requests by
 * @param scope the requests that it and all its ancestors match
 */
public record Branch(
    String id, Optional<String> parent, int depth, BranchLevel level, Scope scope) {}
