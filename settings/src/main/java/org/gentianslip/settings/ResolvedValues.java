package org.gentianslip.settings;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.gentianslip.core.id.RegionId;

/**
 * The values that result from a list of branches, stored at the index of each setting.
 *
 * <p>If no branch sets the allowed regions, they are all regions and not the empty default. They
 * are empty only if the branches contradict each other. A lookup allocates nothing. Immutable and
 * safe for use by several threads.
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
   * Returns the defaults with the values of branches applied.
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
   * Returns the values that apply to a whole instance, merged from those of all firms.
   *
   * <p>If several firms set a value, that of the first one is used.
   */
  static ResolvedValues ofInstance(List<ResolvedValues> firms, Set<RegionId> regions) {
    ResolvedValues merged = of(List.of(), regions);
    for (Setting<?> setting : SettingCatalog.all()) {
      int i = setting.index();
      for (ResolvedValues firm : firms) {
        if (setting.granularity() == SettingGranularity.INSTANCE
            && firm.isSet(setting)
            && !merged.isSet(setting)) {
          merged.values[i] = firm.values[i];
          merged.origins[i] = firm.origins[i];
        }
      }
    }
    return merged;
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

  /** Returns whether a branch sets the value. */
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
