package org.gentianslip.entry.process;

import java.util.List;

/** Thrown if an instance's configuration file is not valid; lists all findings. Immutable. */
public final class InvalidEntryConfigException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<String> findings;

  InvalidEntryConfigException(List<String> findings) {
    super(String.join("; ", findings));
    this.findings = List.copyOf(findings);
  }

  /** Returns the findings, each of which begins with a JSON pointer. */
  public List<String> findings() {
    return findings;
  }
}
