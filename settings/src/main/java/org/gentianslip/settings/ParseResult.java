package org.gentianslip.settings;

import java.util.List;

/** Tells how the reading of settings ended. Immutable and safe for use by several threads. */
public sealed interface ParseResult {

  /**
   * The documents are valid as a whole.
   *
   * @param settings the settings
   */
  record Accepted(Settings settings) implements ParseResult {}

  /**
   * The documents are not valid, and nothing of them may be used.
   *
   * @param findings all faults, at least one
   */
  record Rejected(List<Finding> findings) implements ParseResult {

    /** Copies the list. */
    public Rejected {
      findings = List.copyOf(findings);
    }
  }
}
