package org.gentianslip.entry.gateway;

/** What an engine is asked for its report for. */
enum ReportPurpose {
  /** Whether it runs a request. */
  RUNS("runs"),
  /** When it started. */
  START("start");

  private final String label;

  ReportPurpose(String label) {
    this.label = label;
  }

  /** Returns the word for logs and metrics. */
  String label() {
    return label;
  }
}
