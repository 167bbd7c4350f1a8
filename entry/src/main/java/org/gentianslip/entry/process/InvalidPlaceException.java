package org.gentianslip.entry.process;

import java.util.List;

/** Tells all faults of an instance's own settings file. Immutable. */
public final class InvalidPlaceException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<String> findings;

  InvalidPlaceException(List<String> findings) {
    super(String.join("; ", findings));
    this.findings = List.copyOf(findings);
  }

  /** Returns the findings, each with its JSON pointer. */
  public List<String> findings() {
    return findings;
  }
}
