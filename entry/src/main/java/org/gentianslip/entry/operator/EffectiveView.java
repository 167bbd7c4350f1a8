package org.gentianslip.entry.operator;

import java.time.Duration;
import java.util.Collection;
import java.util.Locale;
import org.gentianslip.core.id.Revision;
import org.gentianslip.entry.http.Json;
import org.gentianslip.settings.EffectiveSettings;
import org.gentianslip.settings.Setting;
import org.gentianslip.settings.SettingCatalog;

/** Shows values in force and their origins as JSON. Stateless and safe for several threads. */
final class EffectiveView {

  private EffectiveView() {}

  static byte[] json(Revision revision, EffectiveSettings effective) {
    var values = Json.object();
    for (Setting<?> setting : SettingCatalog.all()) {
      var one = values.putObject(setting.name());
      one.set("value", Json.tree(plain(effective.get(setting))));
      one.put("origin", effective.origin(setting));
    }
    var body = Json.object().put("revision", revision.value());
    body.set("values", values);
    return Json.bytes(body);
  }

  private static Object plain(Object value) {
    if (value instanceof Duration duration) {
      return duration.toMillis();
    }
    if (value instanceof Collection<?> all) {
      return all.stream().map(Object::toString).sorted().toList();
    }
    if (value instanceof Enum<?> name) {
      return name.name().toLowerCase(Locale.ROOT);
    }
    return value;
  }
}
