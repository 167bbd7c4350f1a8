package org.gentianslip.settings;

import java.util.List;
import java.util.Optional;

/**
 * Finds values in branches that tell apart more than the value can.
 *
 * <p>Used by one thread.
 */
final class ReachChecker {

  private final FindingCollector findings;

  ReachChecker(FindingCollector findings) {
    this.findings = findings;
  }

  /** Checks all values of the branches. */
  void check(List<BranchNode> tree) {
    for (BranchNode branch : tree) {
      branch.declaration().values().forEach((s, v) -> check(branch, s, v.place()));
    }
  }

  private void check(BranchNode branch, Setting<?> setting, Place place) {
    Optional<BranchLevel> level = levelBeyond(branch.scope(), setting.reach());
    if (level.isPresent()) {
      findings.add(
          place,
          String.format(
              "%s holds for %s and must be set in %s, but \"%s\" is for a %s",
              setting.name(),
              setting.reach().phrase(),
              setting.reach().allowedBranches(),
              branch.id(),
              level.get().jsonName()));
    }
  }

  private static Optional<BranchLevel> levelBeyond(Scope scope, SettingReach reach) {
    for (BranchLevel level : BranchLevel.values()) {
      if (scope.name(level).isPresent() && !reach.allows(level)) {
        return Optional.of(level);
      }
    }
    return Optional.empty();
  }
}
