package org.gentianslip.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Builds the tree of branches and reports missing parents, cycles and ambiguous branches.
 *
 * <p>A branch with such an error and all its descendants are left out of the tree, so that one
 * error gives one finding. Confined to one thread.
 */
final class TreeBuilder {

  /** The maximum number of branches of a cycle that a finding names. */
  private static final int MAX_NAMED_BRANCHES = 5;

  private final FindingCollector findings;
  private final Set<String> faultyBranches;
  private final boolean complete;
  private final Map<String, BranchDeclaration> byId = new LinkedHashMap<>();
  private final Map<String, Optional<BranchNode>> resolved = new HashMap<>();
  private final Map<SiblingKey, BranchDeclaration> siblings = new HashMap<>();

  /**
   * The attributes that must be unique together.
   *
   * @param parent the id of the parent, if it has one
   * @param level the level of the branch
   * @param name the name of the branch
   */
  private record SiblingKey(Optional<String> parent, BranchLevel level, String name) {}

  private TreeBuilder(FindingCollector findings, Set<String> faultyBranches, boolean complete) {
    this.findings = findings;
    this.faultyBranches = faultyBranches;
    this.complete = complete;
  }

  /**
   * Returns the branches of the tree, in the order of their declarations.
   *
   * @param complete whether all documents could be read, so that a missing parent is an error
   */
  static List<BranchNode> build(
      SettingsContent content, boolean complete, FindingCollector findings) {
    var builder = new TreeBuilder(findings, content.faultyBranches, complete);
    content.branches.forEach(builder::add);
    builder.findCycles();
    var tree = new ArrayList<BranchNode>();
    for (BranchDeclaration branch : builder.byId.values()) {
      builder.resolve(branch).ifPresent(tree::add);
    }
    return tree;
  }

  private void add(BranchDeclaration branch) {
    BranchDeclaration existing = byId.putIfAbsent(branch.id(), branch);
    if (existing != null) {
      findings.add(
          branch.location().at("id"),
          "The branch id \""
              + branch.id()
              + "\" must be unique, but is also at "
              + existing.location());
    }
  }

  private void findCycles() {
    var visited = new HashSet<String>();
    for (BranchDeclaration start : byId.values()) {
      var path = new ArrayList<String>();
      BranchDeclaration branch = start;
      while (branch != null && visited.add(branch.id())) {
        path.add(branch.id());
        branch = branch.parent().map(byId::get).orElse(null);
      }
      int index = branch == null ? -1 : path.indexOf(branch.id());
      if (index >= 0) {
        reportCycle(path.subList(index, path.size()));
      }
    }
  }

  private void reportCycle(List<String> cycle) {
    String first = cycle.get(0);
    findings.add(
        byId.get(first).location().at("parent"),
        "The parents form a cycle, but must end at a firm: " + formatCycle(cycle));
    cycle.forEach(id -> resolved.put(id, Optional.empty()));
  }

  private static String formatCycle(List<String> cycle) {
    String first = cycle.get(0);
    return cycle.size() <= MAX_NAMED_BRANCHES
        ? String.join(" -> ", cycle) + " -> " + first
        : String.join(" -> ", cycle.subList(0, MAX_NAMED_BRANCHES))
            + " and "
            + (cycle.size() - MAX_NAMED_BRANCHES)
            + " more -> "
            + first;
  }

  /** Resolves a branch after its ancestors, without recursion since the path may be long. */
  private Optional<BranchNode> resolve(BranchDeclaration branch) {
    var unresolved = new ArrayDeque<BranchDeclaration>();
    BranchDeclaration next = branch;
    while (next != null && !resolved.containsKey(next.id())) {
      unresolved.push(next);
      next = next.parent().map(byId::get).orElse(null);
    }
    for (BranchDeclaration descendant : unresolved) {
      Optional<BranchNode> node =
          descendant.parent().isPresent()
              ? resolveChild(descendant, descendant.parent().get())
              : resolveRoot(descendant);
      resolved.put(descendant.id(), node.filter(n -> isUnambiguous(descendant)));
    }
    return resolved.get(branch.id());
  }

  private Optional<BranchNode> resolveRoot(BranchDeclaration branch) {
    if (branch.level() != BranchLevel.FIRM) {
      findings.add(
          branch.location(),
          "The branch \"" + branch.id() + "\" has no parent; only one of level firm may have none");
      return Optional.empty();
    }
    return Optional.of(new BranchNode(branch, 0, Scope.ALL.with(branch.level(), branch.name())));
  }

  private Optional<BranchNode> resolveChild(BranchDeclaration branch, String parentId) {
    if (!byId.containsKey(parentId)) {
      if (complete && !faultyBranches.contains(parentId)) {
        findings.addUnknown(branch.location().at("parent"), "parent", parentId, idsExcept(branch));
      }
      return Optional.empty();
    }
    Optional<BranchNode> parentNode = resolved.get(parentId);
    if (parentNode.isEmpty()) {
      return Optional.empty();
    }
    Optional<String> existingName = parentNode.get().scope().name(branch.level());
    if (existingName.isPresent()) {
      findings.add(
          branch.location().at("level"),
          String.format(
              "An ancestor already has the level %s (%s); each level may occur only once on the"
                  + " path from the firm",
              branch.level().jsonName(), existingName.get()));
      return Optional.empty();
    }
    return Optional.of(
        new BranchNode(
            branch,
            parentNode.get().depth() + 1,
            parentNode.get().scope().with(branch.level(), branch.name())));
  }

  private List<String> idsExcept(BranchDeclaration branch) {
    return byId.keySet().stream().filter(id -> !id.equals(branch.id())).toList();
  }

  private boolean isUnambiguous(BranchDeclaration branch) {
    var key = new SiblingKey(branch.parent(), branch.level(), branch.name());
    BranchDeclaration existing = siblings.putIfAbsent(key, branch);
    if (existing == null) {
      return true;
    }
    findings.add(
        branch.location(),
        String.format(
            "The branch \"%s\" is ambiguous: \"%s\" has the same parent, level and name",
            branch.id(), existing.id()));
    return false;
  }
}
