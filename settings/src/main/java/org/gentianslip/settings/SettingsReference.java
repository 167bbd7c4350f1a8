package org.gentianslip.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Generates descriptions of all settings from the catalog, for documentation and command line help.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class SettingsReference {

  private static final int MAX_LINE_LENGTH = 98;

  private static final String PREAMBLE =
      """
      # Settings

      This page is generated from the declarations in `SettingCatalog` by
      `gentianctl settings reference`; do not edit it.

      A branch sets a value in its member `values`. Where no branch sets one, the default holds.
      Values that hold for a whole instance are set in branches of firms and regions, and two firms
      may not set different ones for one region.
      """;

  private SettingsReference() {}

  /** Returns the content of {@code docs/SETTINGS.md}. */
  public static String markdown() {
    return SettingCatalog.all().stream()
        .map(SettingsReference::section)
        .collect(Collectors.joining("\n", PREAMBLE + "\n", ""));
  }

  private static String section(Setting<?> setting) {
    var lines = new ArrayList<String>();
    lines.add("## " + setting.name());
    lines.add("");
    lines.addAll(wrap(setting.description()));
    lines.add("");
    lines.add("- Allowed: " + setting.allowed());
    if (!setting.unit().isEmpty()) {
      lines.add("- Unit: " + setting.unit());
    }
    lines.add("- Default: " + defaultText(setting));
    if (setting.granularity() != SettingGranularity.REQUEST) {
      lines.add(
          "- Holds for "
              + setting.granularity().subjectPhrase()
              + ": set it in "
              + setting.granularity().allowedBranchesPhrase()
              + " only");
    }
    lines.add("");
    return String.join("\n", lines);
  }

  /** Returns lines that describe all settings, each of at most 100 characters. */
  public static List<String> helpLines() {
    var lines = new ArrayList<String>();
    for (Setting<?> setting : SettingCatalog.all()) {
      lines.add(setting.name() + " (default " + defaultText(setting) + ")");
      for (String line : wrap(setting.description() + " Allowed: " + setting.allowed() + ".")) {
        lines.add("  " + line);
      }
    }
    return lines;
  }

  private static <T> String defaultText(Setting<T> setting) {
    return setting == SettingCatalog.ALLOWED_REGIONS
        ? "all regions"
        : setting.write(setting.defaultValue()).toString();
  }

  private static List<String> wrap(String text) {
    var lines = new ArrayList<String>();
    var line = new StringBuilder();
    for (String word : text.split(" ")) {
      if (!line.isEmpty() && line.length() + 1 + word.length() > MAX_LINE_LENGTH) {
        lines.add(line.toString());
        line.setLength(0);
      }
      line.append(line.isEmpty() ? "" : " ").append(word);
    }
    lines.add(line.toString());
    return lines;
  }
}
