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
 * Computes the values in force for every combination of customer, region and kind of work that the
 * tree distinguishes.
 *
 * <p>Requests that match the same branches share one {@link ResolvedValues}, and customers without
 * a branch of their own share the table of their firm. Confined to one thread.
 */
final class EffectiveTableBuilder {

  private final BranchSelector selector;
  private final Set<RegionId> regions;
  private final InstanceValues instances;
  private final ContradictionChecker contradictions;
  private final Map<List<String>, ResolvedValues> valuesByBranchIds = new HashMap<>();
  private final Map<String, Set<KindId>> kindsByFirm = new HashMap<>();
  private final Map<String, EffectiveTable> tablesByFirm = new HashMap<>();

  EffectiveTableBuilder(
      List<BranchNode> tree,
      BranchSelector selector,
      Set<RegionId> regions,
      InstanceValues instances,
      ContradictionChecker contradictions) {
    this.selector = selector;
    this.regions = regions;
    this.instances = instances;
    this.contradictions = contradictions;
    for (BranchNode node : tree) {
      String firm = node.scope().name(BranchLevel.FIRM).orElseThrow();
      Set<KindId> kindsOfFirm = kindsByFirm.computeIfAbsent(firm, f -> new TreeSet<>());
      node.scope().name(BranchLevel.KIND).map(KindId::of).ifPresent(kindsOfFirm::add);
    }
  }

  /** Returns, for each firm, the kinds of work that its branches name. */
  Map<String, Set<KindId>> kindsByFirm() {
    return kindsByFirm;
  }

  /** Returns the table of each customer whose firm has a branch. */
  Map<CustomerId, EffectiveTable> build(List<Located<Customer>> customers) {
    kindsByFirm.keySet().stream()
        .sorted()
        .forEach(f -> tablesByFirm.put(f, buildTable(firmScope(f), f)));
    var tables = new TreeMap<CustomerId, EffectiveTable>();
    for (Located<Customer> declared : customers) {
      Customer customer = declared.value();
      EffectiveTable firmTable = tablesByFirm.get(customer.firm());
      if (firmTable == null) {
        continue;
      }
      String id = customer.id().value();
      Scope scope = firmScope(customer.firm()).with(BranchLevel.CUSTOMER, id);
      tables.put(
          customer.id(), selector.hasBranch(id) ? buildTable(scope, customer.firm()) : firmTable);
    }
    return tables;
  }

  private static Scope firmScope(String name) {
    return Scope.ALL.with(BranchLevel.FIRM, name);
  }

  private EffectiveTable buildTable(Scope scope, String firm) {
    var byRegion = new HashMap<RegionId, EffectiveTable.ByKind>();
    for (RegionId region : regions) {
      byRegion.put(region, buildByKind(scope.with(BranchLevel.REGION, region.value()), firm));
    }
    return new EffectiveTable(byRegion, buildByKind(scope, firm));
  }

  private EffectiveTable.ByKind buildByKind(Scope scope, String firm) {
    var byKind = new HashMap<KindId, ResolvedValues>();
    for (KindId kind : kindsByFirm.get(firm)) {
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
              contradictions.checkRoundTrip(r, branches, resolved);
              contradictions.checkDrainTimeout(branches, resolved, instances.find(r));
            });
    return resolved;
  }

  private ResolvedValues resolve(List<BranchNode> branches) {
    List<String> branchIds = branches.stream().map(BranchNode::id).toList();
    ResolvedValues existing = valuesByBranchIds.get(branchIds);
    if (existing != null) {
      return existing;
    }
    ResolvedValues resolved = ResolvedValues.of(branches, regions);
    contradictions.check(branches, resolved);
    valuesByBranchIds.put(branchIds, resolved);
    return resolved;
  }
}
