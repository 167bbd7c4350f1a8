package org.gentianslip.settings;

import java.util.List;

/** Lists every setting. Immutable and safe for use by several threads. */
public final class SettingCatalog {

  private SettingCatalog() {}

  /** Returns all settings, in the order of their indices. */
  public static List<Setting<?>> all() {
    return List.of();
  }
}
