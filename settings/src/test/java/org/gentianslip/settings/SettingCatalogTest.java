package org.gentianslip.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SettingCatalogTest {

  static Stream<Setting<?>> all() {
    return SettingCatalog.all().stream();
  }

  @Test
  void namesAreUnique() {
    assertThat(all().map(Setting::name).distinct().count(), is((long) SettingCatalog.all().size()));
  }

  @ParameterizedTest
  @MethodSource("all")
  void indexIsPositionInCatalog(Setting<?> setting) {
    assertThat(SettingCatalog.all().indexOf(setting), is(setting.index()));
  }

  @ParameterizedTest
  @MethodSource("all")
  void defaultIsEqualAfterRoundTripThroughJson(Setting<?> setting) {
    if (setting != SettingCatalog.ALLOWED_REGIONS) {
      assertThat(setting.read(defaultAsJson(setting)), is(setting.defaultValue()));
    }
  }

  private static <T> JsonNode defaultAsJson(Setting<T> setting) {
    return setting.write(setting.defaultValue());
  }
}
