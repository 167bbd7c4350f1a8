package org.gentianslip.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes values in force as JSON, in the form that instances and the command line share.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class EffectiveSettingsJson {

  private EffectiveSettingsJson() {}

  /** Returns an object with the members {@code value} and {@code origin} for each setting. */
  public static ObjectNode toJson(EffectiveSettings effective) {
    ObjectNode values = JsonNodeFactory.instance.objectNode();
    for (Setting<?> setting : SettingCatalog.all()) {
      ObjectNode one = values.putObject(setting.name());
      one.set("value", value(effective, setting));
      one.put("origin", effective.origin(setting));
    }
    return values;
  }

  /** Returns the value in force as it is written in a document. */
  public static <T> JsonNode value(EffectiveSettings effective, Setting<T> setting) {
    return setting.write(effective.get(setting));
  }
}
