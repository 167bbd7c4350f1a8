package org.gentianslip.settings;

import java.util.List;
import java.util.Optional;

/**
 * Reports values that are set in branches of a finer level than their setting supports.
 *
 * <p>Confined to one thread.
 */
final class GranularityChecker {

  private final FindingCollector findings;

  GranularityChecker(FindingCollector findings) {
    this.findings = findings;
  }

  /** Checks all values that the branches set. */
  void check(List<BranchNode> tree) {
    for (BranchNode branch : tree) {
      branch.declaration().values().forEach((s, v) -> check(branch, s, v.location()));
    }
  }

  private void check(BranchNode branch, Setting<?> setting, Location location) {
    Optional<BranchLevel> level = findTooFineLevel(branch.scope(), setting.granularity());
    if (level.isPresent()) {
      findings.add(
          location,
          String.format(
              "%s holds for %s and must be set in %s, but \"%s\" is for a %s",
              setting.name(),
              setting.granularity().subjectPhrase(),
              setting.granularity().allowedBranchesPhrase(),
              branch.id(),
              level.get().jsonName()));
    }
  }

  private static Optional<BranchLevel> findTooFineLevel(
      Scope scope, SettingGranularity granularity) {
    for (BranchLevel level : BranchLevel.values()) {
      if (scope.name(level).isPresent() && !granularity.allows(level)) {
        return Optional.of(level);
      }
    }
    return Optional.empty();
  }
}
