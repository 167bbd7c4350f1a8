package org.gentianslip.settings;

import java.util.Comparator;
import java.util.Optional;

/**
 * A branch with its depth and scope in the tree.
 *
 * <p>The scope has the name of the branch and those of all its ancestors. Immutable and safe for
 * use by several threads.
 *
 * @param declaration the branch as declared in a document
 * @param depth the number of its ancestors
 * @param scope the requests that it and all its ancestors match
 */
record BranchNode(BranchDeclaration declaration, int depth, Scope scope) {

  /** The order in which matching branches apply; later ones override earlier ones. */
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

  /** Returns the value that the branch itself sets, with its location. */
  Optional<Located<Object>> value(Setting<?> setting) {
    return Optional.ofNullable(declaration.values().get(setting));
  }

  /** Returns whether depth and level are the same, so that neither branch overrides the other. */
  boolean hasSamePrecedence(BranchNode other) {
    return depth == other.depth && level() == other.level();
  }

  Branch toBranch() {
    return new Branch(id(), declaration.parent(), depth, level(), scope);
  }
}
