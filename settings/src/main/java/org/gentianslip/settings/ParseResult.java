package org.gentianslip.settings;

import java.util.List;

/** The result of parsing settings documents. Immutable and safe for use by several threads. */
public sealed interface ParseResult {

  /**
   * The documents are valid together.
   *
   * @param settings the settings
   */
  record Accepted(Settings settings) implements ParseResult {}

  /**
   * The documents have errors, and nothing in them may be used.
   *
   * @param findings the errors, at least one
   */
  record Rejected(List<Finding> findings) implements ParseResult {

    /** Copies the list. */
    public Rejected {
      findings = List.copyOf(findings);
    }
  }
}
