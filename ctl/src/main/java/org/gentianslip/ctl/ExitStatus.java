package org.gentianslip.ctl;

/** Names the exit codes of the process. Stateless and safe for use by several threads. */
final class ExitStatus {

  /** The command did what it says. */
  static final int DONE = 0;

  /** The settings have findings, or an instance did not answer as it should. */
  static final int FAILED = 1;

  /** The command line is wrong or a file cannot be read. */
  static final int WRONG_USE = 2;

  private ExitStatus() {}
}
