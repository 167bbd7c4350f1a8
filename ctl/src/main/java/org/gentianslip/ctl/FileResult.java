package org.gentianslip.ctl;

import java.util.List;
import org.gentianslip.settings.Finding;
import org.gentianslip.settings.Settings;

/** Tells how the reading of files ended. Immutable and safe for use by several threads. */
sealed interface FileResult {

  /**
   * The files are valid as one state of the settings.
   *
   * @param settings the settings
   */
  record Valid(Settings settings) implements FileResult {}

  /**
   * The files have faults.
   *
   * @param findings the faults
   */
  record Invalid(List<Finding> findings) implements FileResult {

    /** Copies the list. */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }

  /**
   * A file could not be read.
   *
   * @param message which one, and why
   */
  record Unreadable(String message) implements FileResult {}
}
