package org.gentianslip.settings;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.RegionId;

/**
 * Finds values that are allowed each by itself but contradict each other where they are in force.
 *
 * <p>Used by one thread.
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
    for (Located<RegionLink> item : links) {
      RegionLink link = item.value();
      this.links.putIfAbsent(Set.of(link.first(), link.second()), link);
      longestRoundTripMillis = Math.max(longestRoundTripMillis, roundTripMillis(link));
    }
  }

  /**
   * Checks the values that a list of branches gives, whatever the region.
   *
   * @param branches the branches in the order in which they apply
   * @param values the values that they give
   */
  void check(List<BranchNode> branches, ResolvedValues values) {
    findAmbiguous(branches);
    checkFirstToken(branches, values);
    checkResidency(branches, values);
  }

  /**
   * Finds branches of which none goes before the other and that set the same value.
   *
   * <p>No more than two can share a depth and level: a line has each level once.
   */
  private void findAmbiguous(List<BranchNode> branches) {
    for (int i = 1; i < branches.size(); i++) {
      if (branches.get(i - 1).ranksWith(branches.get(i))) {
        findAmbiguous(branches.get(i - 1), branches.get(i));
      }
    }
  }

  private void findAmbiguous(BranchNode first, BranchNode second) {
    for (Setting<?> setting : second.declaration().values().keySet()) {
      if (setting != SettingCatalog.ALLOWED_REGIONS && first.value(setting).isPresent()) {
        findings.add(
            second.value(setting).orElseThrow().place(),
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
    Optional<Place> place =
        lastPlace(branches, SettingCatalog.FIRST_TOKEN_TARGET, SettingCatalog.DEADLINE);
    place.ifPresent(
        p ->
            findings.add(
                p,
                String.format(
                    "firstTokenTargetMillis %d (%s) must be at most deadlineMillis %d (%s)",
                    target.toMillis(),
                    values.origin(SettingCatalog.FIRST_TOKEN_TARGET),
                    deadline.toMillis(),
                    values.origin(SettingCatalog.DEADLINE))));
  }

  private void checkResidency(List<BranchNode> branches, ResolvedValues values) {
    if (!values.get(SettingCatalog.ALLOWED_REGIONS).isEmpty() || namesUnknown(branches)) {
      return;
    }
    lastPlace(branches, SettingCatalog.ALLOWED_REGIONS)
        .ifPresent(
            p ->
                findings.add(
                    p,
                    "allowedRegions must leave a region, but none is in all the sets of the"
                        + " branches "
                        + values.origin(SettingCatalog.ALLOWED_REGIONS)));
  }

  private boolean namesUnknown(List<BranchNode> branches) {
    for (BranchNode branch : branches) {
      Located<Object> allowed = branch.declaration().values().get(SettingCatalog.ALLOWED_REGIONS);
      if (allowed != null && !regions.containsAll((Set<?>) allowed.value())) {
        return true;
      }
    }
    return false;
  }

  /** Finds deadlines in which no answer from an allowed region can arrive. */
  void checkRoundTrip(RegionId region, List<BranchNode> branches, ResolvedValues values) {
    Set<RegionId> allowed = values.get(SettingCatalog.ALLOWED_REGIONS);
    final long deadline = values.get(SettingCatalog.DEADLINE).toMillis();
    if (deadline >= longestRoundTripMillis || !allowed.contains(region)) {
      return;
    }
    for (RegionId other : allowed) {
      RegionLink link = other.equals(region) ? null : links.get(Set.of(region, other));
      if (link == null || deadline >= roundTripMillis(link)) {
        continue;
      }
      lastPlace(branches, SettingCatalog.DEADLINE, SettingCatalog.ALLOWED_REGIONS)
          .ifPresent(
              p ->
                  findings.add(
                      p,
                      String.format(
                          "deadlineMillis %d must be at least the round trip of %d ms between the"
                              + " allowed regions %s and %s",
                          deadline, roundTripMillis(link), link.first(), link.second())));
      return;
    }
  }

  /**
   * Finds deadlines that a graceful shutdown would not wait for.
   *
   * @param instance the values for the instances that take the requests
   */
  void checkDrain(List<BranchNode> branches, ResolvedValues values, ResolvedValues instance) {
    Duration deadline = values.get(SettingCatalog.DEADLINE);
    Duration drain = instance.get(SettingCatalog.DRAIN_TIMEOUT);
    if (drain.compareTo(deadline) >= 0) {
      return;
    }
    String drainOrigin = instance.origin(SettingCatalog.DRAIN_TIMEOUT);
    lastPlace(branches, SettingCatalog.DEADLINE)
        .or(() -> place(drainOrigin, SettingCatalog.DRAIN_TIMEOUT))
        .ifPresent(
            p ->
                findings.add(
                    p,
                    String.format(
                        "deadlineMillis %d (%s) must be at most drainTimeoutMillis %d (%s)",
                        deadline.toMillis(),
                        values.origin(SettingCatalog.DEADLINE),
                        drain.toMillis(),
                        drainOrigin)));
  }

  private Optional<Place> place(String branch, Setting<?> setting) {
    return Optional.ofNullable(branches.get(branch))
        .flatMap(b -> b.value(setting))
        .map(Located::place);
  }

  private static long roundTripMillis(RegionLink link) {
    return 2L * link.oneWayMillis();
  }

  /** Returns where the first of the given settings that a branch sets was set last. */
  private static Optional<Place> lastPlace(List<BranchNode> branches, Setting<?>... settings) {
    for (Setting<?> setting : settings) {
      for (int i = branches.size() - 1; i >= 0; i--) {
        Located<Object> value = branches.get(i).declaration().values().get(setting);
        if (value != null) {
          return Optional.of(value.place());
        }
      }
    }
    return Optional.empty();
  }
}
