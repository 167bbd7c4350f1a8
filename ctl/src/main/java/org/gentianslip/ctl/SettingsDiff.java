package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.gentianslip.settings.Branch;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.EffectiveSettingsJson;
import org.gentianslip.settings.RegionLink;
import org.gentianslip.settings.Scope;
import org.gentianslip.settings.Setting;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;

/**
 * Compares two states of the settings.
 *
 * <p>Values in force are compared for the scope of every branch of either state, regardless of
 * which branch sets them. Stateless and safe for use by several threads.
 */
final class SettingsDiff {

  private SettingsDiff() {}

  /** Returns the differences in values in force, in the order of the catalog. */
  static List<ValueChange> values(Settings before, Settings after) {
    var changes = new ArrayList<ValueChange>();
    Map<Scope, String> scopes = scopes(before, after);
    for (Setting<?> setting : SettingCatalog.all()) {
      changes.addAll(changes(setting, scopes, before, after));
    }
    return changes;
  }

  private static Map<Scope, String> scopes(Settings before, Settings after) {
    var scopes = new LinkedHashMap<Scope, String>();
    for (Branch branch : before.branches()) {
      scopes.put(branch.scope(), branch.id());
    }
    for (Branch branch : after.branches()) {
      scopes.put(branch.scope(), branch.id());
    }
    return scopes;
  }

  /**
   * A pair of values, by which branches with the same change are grouped.
   *
   * @param before the value before
   * @param after the value after
   */
  private record ValuePair(JsonNode before, JsonNode after) {}

  private static List<ValueChange> changes(
      Setting<?> setting, Map<Scope, String> scopes, Settings before, Settings after) {
    var branchIdsByPair = new LinkedHashMap<ValuePair, List<String>>();
    scopes.forEach(
        (scope, id) -> {
          EffectiveSettings effectiveBefore = before.effective(scope);
          EffectiveSettings effectiveAfter = after.effective(scope);
          var pair =
              new ValuePair(
                  EffectiveSettingsJson.valueToJson(effectiveBefore, setting),
                  EffectiveSettingsJson.valueToJson(effectiveAfter, setting));
          if (!pair.before().equals(pair.after())) {
            branchIdsByPair.computeIfAbsent(pair, p -> new ArrayList<>()).add(id);
          }
        });
    return branchIdsByPair.entrySet().stream()
        .map(
            e ->
                new ValueChange(
                    setting.name(), e.getKey().before(), e.getKey().after(), e.getValue()))
        .toList();
  }

  /** Returns the differences in declarations, without the values of branches. */
  static List<DeclarationChange> declarations(Settings before, Settings after) {
    var changes = new ArrayList<DeclarationChange>();
    compare("region", before.regions(), after.regions(), r -> r.id().value(), changes);
    compare("link", before.links(), after.links(), SettingsDiff::linkId, changes);
    compare(
        "model",
        List.copyOf(before.models()),
        List.copyOf(after.models()),
        Object::toString,
        changes);
    compare("service", before.services(), after.services(), s -> s.id().value(), changes);
    compare("customer", before.customers(), after.customers(), c -> c.id().value(), changes);
    compare("branch", before.branches(), after.branches(), Branch::id, changes);
    return changes;
  }

  private static String linkId(RegionLink link) {
    return String.join("-", new TreeSet<>(List.of(link.first().value(), link.second().value())));
  }

  private static <T> void compare(
      String type,
      List<T> before,
      List<T> after,
      Function<T, String> id,
      List<DeclarationChange> changes) {
    Map<String, T> beforeById = byId(before, id);
    Map<String, T> afterById = byId(after, id);
    var ids = new TreeSet<>(beforeById.keySet());
    ids.addAll(afterById.keySet());
    for (String itemId : ids) {
      if (!beforeById.containsKey(itemId)) {
        changes.add(new DeclarationChange(DeclarationChange.Change.ADDED, type, itemId));
      } else if (!afterById.containsKey(itemId)) {
        changes.add(new DeclarationChange(DeclarationChange.Change.REMOVED, type, itemId));
      } else if (!beforeById.get(itemId).equals(afterById.get(itemId))) {
        changes.add(new DeclarationChange(DeclarationChange.Change.CHANGED, type, itemId));
      }
    }
  }

  private static <T> Map<String, T> byId(List<T> items, Function<T, String> id) {
    var map = new TreeMap<String, T>();
    items.forEach(item -> map.put(id.apply(item), item));
    return map;
  }
}
