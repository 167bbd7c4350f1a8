package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Converts effective settings to JSON, in the form that instances and the command line share.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class EffectiveSettingsJson {

  private EffectiveSettingsJson() {}

  /** Returns an object with one member per setting, which has {@code value} and {@code origin}. */
  public static ObjectNode toJson(EffectiveSettings effective) {
    ObjectNode values = JsonNodeFactory.instance.objectNode();
    for (Setting<?> setting : SettingCatalog.all()) {
      ObjectNode member = values.putObject(setting.name());
      member.set("value", valueToJson(effective, setting));
      member.put("origin", effective.origin(setting));
    }
    return values;
  }

  /** Returns the value in force of one setting, in the form that documents use. */
  public static <T> JsonNode valueToJson(EffectiveSettings effective, Setting<T> setting) {
    return setting.write(effective.get(setting));
  }
}
