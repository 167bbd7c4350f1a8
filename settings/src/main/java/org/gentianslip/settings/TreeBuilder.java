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
 * Joins branches to a tree and finds missing parents, cycles and ambiguous branches.
 *
 * <p>A branch with such a fault, and all below it, are left out of the tree, so that one fault
 * gives one finding. Used by one thread.
 */
final class TreeBuilder {

  /** The greatest number of branches of a cycle that a finding names. */
  private static final int MAX_NAMED = 5;

  private final FindingCollector findings;
  private final Set<String> faulty;
  private final boolean complete;
  private final Map<String, BranchDeclaration> byId = new LinkedHashMap<>();
  private final Map<String, Optional<BranchNode>> nodes = new HashMap<>();
  private final Map<SiblingKey, BranchDeclaration> siblings = new HashMap<>();

  /**
   * Holds what must differ between the children of a branch.
   *
   * @param parent the parent
   * @param level the level of the child
   * @param name the name of the child
   */
  private record SiblingKey(Optional<String> parent, BranchLevel level, String name) {}

  private TreeBuilder(FindingCollector findings, Set<String> faulty, boolean complete) {
    this.findings = findings;
    this.faulty = faulty;
    this.complete = complete;
  }

  /**
   * Returns the branches of the tree, in the order of their declarations.
   *
   * @param complete whether all documents could be read, so that a missing parent is a fault
   */
  static List<BranchNode> build(
      SettingsContent content, boolean complete, FindingCollector findings) {
    var builder = new TreeBuilder(findings, content.faultyBranches, complete);
    content.branches.forEach(builder::add);
    builder.findCycles();
    var tree = new ArrayList<BranchNode>();
    for (BranchDeclaration branch : builder.byId.values()) {
      builder.place(branch).ifPresent(tree::add);
    }
    return tree;
  }

  private void add(BranchDeclaration branch) {
    BranchDeclaration other = byId.putIfAbsent(branch.id(), branch);
    if (other != null) {
      findings.add(
          branch.place().at("id"),
          "The branch id \"" + branch.id() + "\" must be unique, but is also at " + other.place());
    }
  }

  private void findCycles() {
    var done = new HashSet<String>();
    for (BranchDeclaration start : byId.values()) {
      var path = new ArrayList<String>();
      BranchDeclaration branch = start;
      while (branch != null && done.add(branch.id())) {
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
        byId.get(first).place().at("parent"),
        "The parents form a cycle, but must end at a firm: " + text(cycle));
    cycle.forEach(id -> nodes.put(id, Optional.empty()));
  }

  private static String text(List<String> cycle) {
    String first = cycle.get(0);
    return cycle.size() <= MAX_NAMED
        ? String.join(" -> ", cycle) + " -> " + first
        : String.join(" -> ", cycle.subList(0, MAX_NAMED))
            + " and "
            + (cycle.size() - MAX_NAMED)
            + " more -> "
            + first;
  }

  /**
   * Places a branch after its ancestors; the line may be long, so it is walked without recursion.
   */
  private Optional<BranchNode> place(BranchDeclaration branch) {
    var line = new ArrayDeque<BranchDeclaration>();
    BranchDeclaration next = branch;
    while (next != null && !nodes.containsKey(next.id())) {
      line.push(next);
      next = next.parent().map(byId::get).orElse(null);
    }
    for (BranchDeclaration below : line) {
      Optional<BranchNode> node =
          below.parent().isPresent() ? placeBelow(below, below.parent().get()) : placeRoot(below);
      nodes.put(below.id(), node.filter(n -> isUnambiguous(below)));
    }
    return nodes.get(branch.id());
  }

  private Optional<BranchNode> placeRoot(BranchDeclaration branch) {
    if (branch.level() != BranchLevel.FIRM) {
      findings.add(
          branch.place(),
          "The branch \"" + branch.id() + "\" has no parent; only one of level firm may have none");
      return Optional.empty();
    }
    return Optional.of(new BranchNode(branch, 0, Scope.ALL.with(branch.level(), branch.name())));
  }

  private Optional<BranchNode> placeBelow(BranchDeclaration branch, String parent) {
    if (!byId.containsKey(parent)) {
      if (complete && !faulty.contains(parent)) {
        findings.addUnknown(branch.place().at("parent"), "parent", parent, idsBut(branch));
      }
      return Optional.empty();
    }
    Optional<BranchNode> above = nodes.get(parent);
    if (above.isEmpty()) {
      return Optional.empty();
    }
    Optional<String> taken = above.get().scope().name(branch.level());
    if (taken.isPresent()) {
      findings.add(
          branch.place().at("level"),
          String.format(
              "An ancestor already has the level %s (%s); a line from the firm down may have each"
                  + " level once",
              branch.level().jsonName(), taken.get()));
      return Optional.empty();
    }
    return Optional.of(
        new BranchNode(
            branch,
            above.get().depth() + 1,
            above.get().scope().with(branch.level(), branch.name())));
  }

  private List<String> idsBut(BranchDeclaration branch) {
    return byId.keySet().stream().filter(id -> !id.equals(branch.id())).toList();
  }

  private boolean isUnambiguous(BranchDeclaration branch) {
    var key = new SiblingKey(branch.parent(), branch.level(), branch.name());
    BranchDeclaration other = siblings.putIfAbsent(key, branch);
    if (other == null) {
      return true;
    }
    findings.add(
        branch.place(),
        String.format(
            "The branch \"%s\" is ambiguous: \"%s\" has the same parent, level and name",
            branch.id(), other.id()));
    return false;
  }
}
