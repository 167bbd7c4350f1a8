package org.gentianslip.entry.http;

/**
 * What is known about the execution of a request. Immutable and safe for use by several threads.
 */
public enum OutcomeName {
  /** The backend server responded in full. */
  COMPLETED("completed"),
  /** No backend server ran the request. */
  NOT_RUN("not-run"),
  /** A backend server may have run the request. */
  UNKNOWN("unknown");

  private final String text;

  OutcomeName(String text) {
    this.text = text;
  }

  /** Returns the name in headers and bodies. */
  public String text() {
    return text;
  }
}
