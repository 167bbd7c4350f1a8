package org.gentianslip.ctl;

/** The exit codes of the process. Stateless and safe for use by several threads. */
final class ExitStatus {

  /** The command succeeded. */
  static final int SUCCESS = 0;

  /** The settings have findings, or an instance failed or could not be reached. */
  static final int FAILURE = 1;

  /** The command line is wrong or a file cannot be read. */
  static final int USAGE_ERROR = 2;

  private ExitStatus() {}
}
