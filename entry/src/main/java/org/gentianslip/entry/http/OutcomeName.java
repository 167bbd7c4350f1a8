package org.gentianslip.entry.http;

/** Names what is known of a request's execution. Immutable and safe for use by several threads. */
public enum OutcomeName {
  /** The backend server answered in full. */
  COMPLETED("completed"),
  /** No backend server ran the request. */
  NOT_RUN("not-run"),
  /** A backend server may have run the request. */
  UNKNOWN("unknown");

  private final String text;

  OutcomeName(String text) {
    this.text = text;
  }

  /** Returns the text in headers and bodies. */
  public String text() {
    return text;
  }
}
