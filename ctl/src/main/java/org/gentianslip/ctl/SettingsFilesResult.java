package org.gentianslip.ctl;

import java.util.List;
import org.gentianslip.settings.Finding;
import org.gentianslip.settings.Settings;

/** The result of reading settings files. Immutable and safe for use by several threads. */
sealed interface SettingsFilesResult {

  /**
   * The files are valid together.
   *
   * @param settings the settings
   */
  record Valid(Settings settings) implements SettingsFilesResult {}

  /**
   * The files have errors.
   *
   * @param findings the errors
   */
  record Invalid(List<Finding> findings) implements SettingsFilesResult {

    /** Copies the list. */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }

  /**
   * A file could not be read.
   *
   * @param message a sentence that names the file and the cause
   */
  record Unreadable(String message) implements SettingsFilesResult {}
}
