package org.gentianslip.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Set;
import org.gentianslip.core.id.RegionId;

/**
 * Computes the values that apply to whole instances and reports settings for which firms set
 * different values.
 *
 * <p>Confined to one thread.
 */
final class InstanceValuesBuilder {

  private final List<BranchNode> tree;
  private final BranchSelector selector;
  private final Set<RegionId> regions;
  private final FindingCollector findings;

  InstanceValuesBuilder(
      List<BranchNode> tree,
      BranchSelector selector,
      Set<RegionId> regions,
      FindingCollector findings) {
    this.tree = tree;
    this.selector = selector;
    this.regions = regions;
    this.findings = findings;
  }

  InstanceValues build() {
    var byRegion = new HashMap<RegionId, ResolvedValues>();
    for (RegionId region : regions) {
      Scope scope = Scope.ALL.with(BranchLevel.REGION, region.value());
      findContradictions(scope);
      byRegion.put(region, mergeFirms(scope));
    }
    return new InstanceValues(byRegion, mergeFirms(Scope.ALL));
  }

  private List<List<BranchNode>> selectByFirm(Scope scope) {
    var branchesByFirm = new ArrayList<List<BranchNode>>();
    for (BranchNode node : tree) {
      if (node.depth() == 0) {
        String firm = node.scope().name(BranchLevel.FIRM).orElseThrow();
        branchesByFirm.add(selector.select(scope.with(BranchLevel.FIRM, firm)));
      }
    }
    return branchesByFirm;
  }

  private ResolvedValues mergeFirms(Scope scope) {
    List<ResolvedValues> valuesByFirm =
        selectByFirm(scope).stream().map(b -> ResolvedValues.of(b, regions)).toList();
    return ResolvedValues.ofInstance(valuesByFirm, regions);
  }

  private void findContradictions(Scope scope) {
    List<List<BranchNode>> branchesByFirm = selectByFirm(scope);
    for (Setting<?> setting : SettingCatalog.all()) {
      if (setting.granularity() == SettingGranularity.INSTANCE) {
        findContradiction(setting, branchesByFirm);
      }
    }
  }

  private void findContradiction(Setting<?> setting, List<List<BranchNode>> branchesByFirm) {
    BranchNode first = null;
    for (List<BranchNode> branches : branchesByFirm) {
      BranchNode last = lastBranchThatSets(setting, branches);
      if (last == null) {
        continue;
      }
      if (first == null) {
        first = last;
      } else if (!valueOf(first, setting).equals(valueOf(last, setting))) {
        findings.add(
            last.value(setting).orElseThrow().location(),
            String.format(
                "%s holds for a whole instance, but \"%s\" and \"%s\" set different values for"
                    + " one region",
                setting.name(), first.id(), last.id()));
      }
    }
  }

  private static BranchNode lastBranchThatSets(Setting<?> setting, List<BranchNode> branches) {
    BranchNode last = null;
    for (BranchNode branch : branches) {
      last = branch.value(setting).isPresent() ? branch : last;
    }
    return last;
  }

  private static Object valueOf(BranchNode branch, Setting<?> setting) {
    return branch.value(setting).orElseThrow().value();
  }
}
