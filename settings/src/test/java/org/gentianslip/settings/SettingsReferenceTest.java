package org.gentianslip.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class SettingsReferenceTest {

  @Test
  @DisplayName("docs/SETTINGS.md equals the page that is generated from the catalog")
  void committedPageIsUpToDate() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
    assertThat(page, is(SettingsReference.markdown()));
  }

  @Test
  void helpLinesHaveAtMostOneHundredCharacters() {
    assertThat(
        SettingsReference.helpLines().stream().map(String::length).toList(),
        everyItem(lessThanOrEqualTo(100)));
  }
}
