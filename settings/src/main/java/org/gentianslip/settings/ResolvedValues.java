package org.gentianslip.settings;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.gentianslip.core.id.RegionId;

/**
 * Holds the values that a list of branches gives, at the index of each setting.
 *
 * <p>The allowed regions are never the empty set of their default: where no branch sets them, all
 * regions are allowed. They are empty only if the branches contradict each other. A lookup
 * allocates nothing. Immutable and safe for use by several threads.
 */
final class ResolvedValues implements EffectiveSettings {

  private static final String DEFAULT_ORIGIN = "default";

  private final Object[] values;
  private final String[] origins;

  private ResolvedValues(Object[] values, String[] origins) {
    this.values = values;
    this.origins = origins;
  }

  /**
   * Applies branches to the defaults.
   *
   * @param branches the branches in the order in which they apply
   * @param regions all regions
   */
  static ResolvedValues of(List<BranchNode> branches, Set<RegionId> regions) {
    int count = SettingCatalog.all().size();
    var values = new Object[count];
    var origins = new String[count];
    for (Setting<?> setting : SettingCatalog.all()) {
      values[setting.index()] = setting.defaultValue();
      origins[setting.index()] = DEFAULT_ORIGIN;
    }
    values[SettingCatalog.ALLOWED_REGIONS.index()] = regions;
    for (BranchNode branch : branches) {
      branch.declaration().values().forEach((s, v) -> apply(s, v.value(), branch, values, origins));
    }
    return new ResolvedValues(values, origins);
  }

  /**
   * Takes the values that hold for a whole instance from those of all firms.
   *
   * <p>Of two firms that set a value, the first one counts.
   */
  static ResolvedValues ofInstance(List<ResolvedValues> firms, Set<RegionId> regions) {
    ResolvedValues values = of(List.of(), regions);
    for (Setting<?> setting : SettingCatalog.all()) {
      int i = setting.index();
      for (ResolvedValues firm : firms) {
        if (setting.reach() == SettingReach.INSTANCE
            && firm.isSet(setting)
            && !values.isSet(setting)) {
          values.values[i] = firm.values[i];
          values.origins[i] = firm.origins[i];
        }
      }
    }
    return values;
  }

  private static void apply(
      Setting<?> setting, Object value, BranchNode branch, Object[] values, String[] origins) {
    int i = setting.index();
    if (setting != SettingCatalog.ALLOWED_REGIONS) {
      values[i] = value;
      origins[i] = branch.id();
      return;
    }
    values[i] = intersection((Set<?>) values[i], (Set<?>) value);
    origins[i] = origins[i].equals(DEFAULT_ORIGIN) ? branch.id() : origins[i] + ", " + branch.id();
  }

  private static Set<?> intersection(Set<?> first, Set<?> second) {
    var common = new TreeSet<Object>(first);
    common.retainAll(second);
    return Collections.unmodifiableSet(common);
  }

  /** Returns whether a branch set the value. */
  boolean isSet(Setting<?> setting) {
    return !origins[setting.index()].equals(DEFAULT_ORIGIN);
  }

  @Override
  @SuppressWarnings("unchecked")
  public <T> T get(Setting<T> setting) {
    return (T) values[setting.index()];
  }

  @Override
  public String origin(Setting<?> setting) {
    return origins[setting.index()];
  }
}
