package org.gentianslip.settings;

import java.util.Comparator;
import java.util.Optional;

/**
 * Holds a branch at its place in the tree.
 *
 * <p>The scope names the branch's own name and those of all its ancestors. Immutable and safe for
 * use by several threads.
 *
 * @param declaration the branch as a document declares it
 * @param depth the number of its ancestors
 * @param scope the requests that it and all its ancestors match
 */
record BranchNode(BranchDeclaration declaration, int depth, Scope scope) {

  /** The order in which matching branches apply; a later one overrides an earlier one. */
  static final Comparator<BranchNode> APPLICATION_ORDER =
      Comparator.comparingInt(BranchNode::depth)
          .thenComparing(BranchNode::level)
          .thenComparing(BranchNode::id);

  String id() {
    return declaration.id();
  }

  BranchLevel level() {
    return declaration.level();
  }

  /** Returns the value that the branch itself sets, with its place. */
  Optional<Located<Object>> value(Setting<?> setting) {
    return Optional.ofNullable(declaration.values().get(setting));
  }

  /** Returns whether both apply at the same point of the order. */
  boolean ranksWith(BranchNode other) {
    return depth == other.depth && level() == other.level();
  }

  Branch toBranch() {
    return new Branch(id(), declaration.parent(), depth, level(), scope);
  }
}
