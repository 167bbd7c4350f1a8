package org.gentianslip.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.core.id.RegionId;

/**
 * Computes the values in force for all requests that the tree distinguishes.
 *
 * <p>Requests that the same branches match share one object, and customers without a branch of
 * their own share the table of their firm. Used by one thread.
 */
final class EffectiveTableBuilder {

  private final BranchSelector selector;
  private final Set<RegionId> regions;
  private final InstanceValues instances;
  private final ContradictionChecker checker;
  private final Map<List<String>, ResolvedValues> values = new HashMap<>();
  private final Map<String, Set<KindId>> kinds = new HashMap<>();
  private final Map<String, EffectiveTable> firms = new HashMap<>();

  EffectiveTableBuilder(
      List<BranchNode> tree,
      BranchSelector selector,
      Set<RegionId> regions,
      InstanceValues instances,
      ContradictionChecker checker) {
    this.selector = selector;
    this.regions = regions;
    this.instances = instances;
    this.checker = checker;
    for (BranchNode node : tree) {
      String firm = node.scope().name(BranchLevel.FIRM).orElseThrow();
      Set<KindId> named = kinds.computeIfAbsent(firm, f -> new TreeSet<>());
      node.scope().name(BranchLevel.KIND).map(KindId::of).ifPresent(named::add);
    }
  }

  /** Returns the kinds of work that some branch of a firm names. */
  Map<String, Set<KindId>> kinds() {
    return kinds;
  }

  /** Returns the table of each customer whose firm has a branch. */
  Map<CustomerId, EffectiveTable> build(List<Located<Customer>> customers) {
    kinds.keySet().stream().sorted().forEach(f -> firms.put(f, table(firm(f), f)));
    var tables = new TreeMap<CustomerId, EffectiveTable>();
    for (Located<Customer> item : customers) {
      Customer customer = item.value();
      EffectiveTable shared = firms.get(customer.firm());
      if (shared == null) {
        continue;
      }
      String id = customer.id().value();
      Scope scope = firm(customer.firm()).with(BranchLevel.CUSTOMER, id);
      tables.put(customer.id(), selector.hasBranch(id) ? table(scope, customer.firm()) : shared);
    }
    return tables;
  }

  private static Scope firm(String name) {
    return Scope.ALL.with(BranchLevel.FIRM, name);
  }

  private EffectiveTable table(Scope scope, String firm) {
    var byRegion = new HashMap<RegionId, EffectiveTable.ByKind>();
    for (RegionId region : regions) {
      byRegion.put(region, byKind(scope.with(BranchLevel.REGION, region.value()), firm));
    }
    return new EffectiveTable(byRegion, byKind(scope, firm));
  }

  private EffectiveTable.ByKind byKind(Scope scope, String firm) {
    var byKind = new HashMap<KindId, ResolvedValues>();
    for (KindId kind : kinds.get(firm)) {
      byKind.put(kind, resolve(scope.with(BranchLevel.KIND, kind.value())));
    }
    return new EffectiveTable.ByKind(byKind, resolve(scope));
  }

  private ResolvedValues resolve(Scope scope) {
    List<BranchNode> branches = selector.select(scope);
    ResolvedValues resolved = resolve(branches);
    scope
        .name(BranchLevel.REGION)
        .map(RegionId::of)
        .ifPresent(
            r -> {
              checker.checkRoundTrip(r, branches, resolved);
              checker.checkDrain(branches, resolved, instances.find(r));
            });
    return resolved;
  }

  private ResolvedValues resolve(List<BranchNode> branches) {
    List<String> ids = branches.stream().map(BranchNode::id).toList();
    ResolvedValues known = values.get(ids);
    if (known != null) {
      return known;
    }
    ResolvedValues resolved = ResolvedValues.of(branches, regions);
    checker.check(branches, resolved);
    values.put(ids, resolved);
    return resolved;
  }
}
