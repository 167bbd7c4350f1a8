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
 * <p>Values are compared for the requests of every branch of either state, whichever branch sets
 * them. Stateless and safe for use by several threads.
 */
final class SettingsDiff {

  private SettingsDiff() {}

  /** Returns the values in force that differ, in the order of the settings. */
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
   * Holds a pair of values, to gather the branches that share it.
   *
   * @param before the value before
   * @param after the value after
   */
  private record Pair(JsonNode before, JsonNode after) {}

  private static List<ValueChange> changes(
      Setting<?> setting, Map<Scope, String> scopes, Settings before, Settings after) {
    var branches = new LinkedHashMap<Pair, List<String>>();
    scopes.forEach(
        (scope, id) -> {
          EffectiveSettings old = before.effective(scope);
          EffectiveSettings now = after.effective(scope);
          var pair =
              new Pair(
                  EffectiveSettingsJson.value(old, setting),
                  EffectiveSettingsJson.value(now, setting));
          if (!pair.before().equals(pair.after())) {
            branches.computeIfAbsent(pair, p -> new ArrayList<>()).add(id);
          }
        });
    return branches.entrySet().stream()
        .map(
            e ->
                new ValueChange(
                    setting.name(), e.getKey().before(), e.getKey().after(), e.getValue()))
        .toList();
  }

  /** Returns the declarations that differ, without the values of branches. */
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
    Map<String, T> old = byId(before, id);
    Map<String, T> now = byId(after, id);
    var ids = new TreeSet<>(old.keySet());
    ids.addAll(now.keySet());
    for (String one : ids) {
      if (!old.containsKey(one)) {
        changes.add(new DeclarationChange(DeclarationChange.Change.ADDED, type, one));
      } else if (!now.containsKey(one)) {
        changes.add(new DeclarationChange(DeclarationChange.Change.REMOVED, type, one));
      } else if (!old.get(one).equals(now.get(one))) {
        changes.add(new DeclarationChange(DeclarationChange.Change.CHANGED, type, one));
      }
    }
  }

  private static <T> Map<String, T> byId(List<T> items, Function<T, String> id) {
    var map = new TreeMap<String, T>();
    items.forEach(item -> map.put(id.apply(item), item));
    return map;
  }
}
