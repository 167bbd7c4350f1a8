package org.gentianslip.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the branches that match requests, in the order in which they apply.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class BranchSelector {

  private final Map<String, List<BranchNode>> byFirm = new HashMap<>();
  private final Map<String, List<BranchNode>> byCustomer = new HashMap<>();

  BranchSelector(List<BranchNode> tree) {
    for (BranchNode node : tree) {
      String firm = node.scope().name(BranchLevel.FIRM).orElseThrow();
      node.scope()
          .name(BranchLevel.CUSTOMER)
          .map(c -> byCustomer.computeIfAbsent(c, k -> new ArrayList<>()))
          .orElseGet(() -> byFirm.computeIfAbsent(firm, k -> new ArrayList<>()))
          .add(node);
    }
  }

  /** Returns the branches that match every request of the scope. */
  List<BranchNode> select(Scope scope) {
    var matching = new ArrayList<BranchNode>();
    scope.name(BranchLevel.FIRM).ifPresent(f -> collect(byFirm.get(f), scope, matching));
    scope.name(BranchLevel.CUSTOMER).ifPresent(c -> collect(byCustomer.get(c), scope, matching));
    matching.sort(BranchNode.APPLICATION_ORDER);
    return matching;
  }

  private static void collect(List<BranchNode> candidates, Scope scope, List<BranchNode> matching) {
    if (candidates == null) {
      return;
    }
    for (BranchNode node : candidates) {
      if (node.scope().includes(scope)) {
        matching.add(node);
      }
    }
  }

  /** Returns whether any branch is limited to the customer. */
  boolean hasBranch(String customer) {
    return byCustomer.containsKey(customer);
  }
}
