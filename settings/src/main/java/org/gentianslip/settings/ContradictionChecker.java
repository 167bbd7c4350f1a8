package org.gentianslip.settings;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.RegionId;

/**
 * Reports values that are valid by themselves but contradict each other where they are in force.
 *
 * <p>Confined to one thread.
 */
final class ContradictionChecker {

  private final Map<String, BranchNode> branches = new HashMap<>();
  private final Set<RegionId> regions;
  private final Map<Set<RegionId>, RegionLink> links = new HashMap<>();
  private final FindingCollector findings;
  private long longestRoundTripMillis;

  ContradictionChecker(
      List<BranchNode> tree,
      Set<RegionId> regions,
      List<Located<RegionLink>> links,
      FindingCollector findings) {
    this.regions = regions;
    this.findings = findings;
    tree.forEach(branch -> branches.put(branch.id(), branch));
    for (Located<RegionLink> declared : links) {
      RegionLink link = declared.value();
      this.links.putIfAbsent(Set.of(link.first(), link.second()), link);
      longestRoundTripMillis = Math.max(longestRoundTripMillis, roundTripMillis(link));
    }
  }

  /**
   * Checks the values that result from a list of branches, independently of the region.
   *
   * @param branches the branches in the order in which they apply
   * @param values the resulting values
   */
  void check(List<BranchNode> branches, ResolvedValues values) {
    findAmbiguous(branches);
    checkFirstToken(branches, values);
    checkAllowedRegions(branches, values);
  }

  /**
   * Reports branches of equal precedence that set the same value.
   *
   * <p>It is enough to compare neighbours: at most two matching branches can have the same depth
   * and level, since a path from the firm has each level at most once.
   */
  private void findAmbiguous(List<BranchNode> branches) {
    for (int i = 1; i < branches.size(); i++) {
      if (branches.get(i - 1).hasSamePrecedence(branches.get(i))) {
        findAmbiguous(branches.get(i - 1), branches.get(i));
      }
    }
  }

  private void findAmbiguous(BranchNode first, BranchNode second) {
    for (Setting<?> setting : second.declaration().values().keySet()) {
      if (setting != SettingCatalog.ALLOWED_REGIONS && first.value(setting).isPresent()) {
        findings.add(
            second.value(setting).orElseThrow().location(),
            String.format(
                "%s is ambiguous: \"%s\" has the same depth and level, can match the same"
                    + " request and sets it too",
                setting.name(), first.id()));
      }
    }
  }

  private void checkFirstToken(List<BranchNode> branches, ResolvedValues values) {
    Duration target = values.get(SettingCatalog.FIRST_TOKEN_TARGET);
    Duration deadline = values.get(SettingCatalog.DEADLINE);
    if (target.compareTo(deadline) <= 0) {
      return;
    }
    Optional<Location> location =
        lastLocation(branches, SettingCatalog.FIRST_TOKEN_TARGET, SettingCatalog.DEADLINE);
    location.ifPresent(
        l ->
            findings.add(
                l,
                String.format(
                    "firstTokenTargetMillis %d (%s) must be at most deadlineMillis %d (%s)",
                    target.toMillis(),
                    values.origin(SettingCatalog.FIRST_TOKEN_TARGET),
                    deadline.toMillis(),
                    values.origin(SettingCatalog.DEADLINE))));
  }

  private void checkAllowedRegions(List<BranchNode> branches, ResolvedValues values) {
    if (!values.get(SettingCatalog.ALLOWED_REGIONS).isEmpty() || namesUndeclaredRegion(branches)) {
      return;
    }
    lastLocation(branches, SettingCatalog.ALLOWED_REGIONS)
        .ifPresent(
            l ->
                findings.add(
                    l,
                    "allowedRegions must leave at least one region, but no region is in the sets of"
                        + " all branches "
                        + values.origin(SettingCatalog.ALLOWED_REGIONS)));
  }

  private boolean namesUndeclaredRegion(List<BranchNode> branches) {
    for (BranchNode branch : branches) {
      Located<Object> allowed = branch.declaration().values().get(SettingCatalog.ALLOWED_REGIONS);
      if (allowed != null && !regions.containsAll((Set<?>) allowed.value())) {
        return true;
      }
    }
    return false;
  }

  /** Reports deadlines that are shorter than the round trip to an allowed region. */
  void checkRoundTrip(RegionId region, List<BranchNode> branches, ResolvedValues values) {
    Set<RegionId> allowed = values.get(SettingCatalog.ALLOWED_REGIONS);
    final long deadlineMillis = values.get(SettingCatalog.DEADLINE).toMillis();
    if (deadlineMillis >= longestRoundTripMillis || !allowed.contains(region)) {
      return;
    }
    for (RegionId other : allowed) {
      RegionLink link = other.equals(region) ? null : links.get(Set.of(region, other));
      if (link == null || deadlineMillis >= roundTripMillis(link)) {
        continue;
      }
      lastLocation(branches, SettingCatalog.DEADLINE, SettingCatalog.ALLOWED_REGIONS)
          .ifPresent(
              l ->
                  findings.add(
                      l,
                      String.format(
                          "deadlineMillis %d must be at least the round trip of %d ms between the"
                              + " allowed regions %s and %s",
                          deadlineMillis, roundTripMillis(link), link.first(), link.second())));
      return;
    }
  }

  /**
   * Reports deadlines that are longer than a graceful shutdown waits.
   *
   * @param instanceValues the values for the instances that receive the requests
   */
  void checkDrainTimeout(
      List<BranchNode> branches, ResolvedValues values, ResolvedValues instanceValues) {
    Duration deadline = values.get(SettingCatalog.DEADLINE);
    Duration drainTimeout = instanceValues.get(SettingCatalog.DRAIN_TIMEOUT);
    if (drainTimeout.compareTo(deadline) >= 0) {
      return;
    }
    String drainOrigin = instanceValues.origin(SettingCatalog.DRAIN_TIMEOUT);
    lastLocation(branches, SettingCatalog.DEADLINE)
        .or(() -> locationOf(drainOrigin, SettingCatalog.DRAIN_TIMEOUT))
        .ifPresent(
            l ->
                findings.add(
                    l,
                    String.format(
                        "deadlineMillis %d (%s) must be at most drainTimeoutMillis %d (%s)",
                        deadline.toMillis(),
                        values.origin(SettingCatalog.DEADLINE),
                        drainTimeout.toMillis(),
                        drainOrigin)));
  }

  private Optional<Location> locationOf(String branch, Setting<?> setting) {
    return Optional.ofNullable(branches.get(branch))
        .flatMap(b -> b.value(setting))
        .map(Located::location);
  }

  private static long roundTripMillis(RegionLink link) {
    return 2L * link.oneWayMillis();
  }

  /** Returns the last location of the first of the given settings that any branch sets. */
  private static Optional<Location> lastLocation(
      List<BranchNode> branches, Setting<?>... settings) {
    for (Setting<?> setting : settings) {
      for (int i = branches.size() - 1; i >= 0; i--) {
        Located<Object> value = branches.get(i).declaration().values().get(setting);
        if (value != null) {
          return Optional.of(value.location());
        }
      }
    }
    return Optional.empty();
  }
}
