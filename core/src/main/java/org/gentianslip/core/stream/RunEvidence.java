package org.gentianslip.core.stream;

/** What is known about a run after a call for the runs of its engine, or without one. */
public enum RunEvidence {
  /** The engine's report lists the run. */
  LISTED,
  /** The engine's report does not list the run. */
  NOT_LISTED,
  /** The engine has sent something that is no report, so it is alive without the call. */
  NO_REPORT,
  /** The engine has accepted the connection and sent nothing in time. */
  NO_ANSWER,
  /** The engine has not accepted a connection in time. */
  UNREACHABLE,
  /** Another server has answered at the engine's address, which is given away once it has ended. */
  OTHER_SERVER,
  /**
   * The backend server has no such call, as far as is known: its service has no engines, or it has
   * refused the call as a request.
   */
  NO_CALL;

  /** Returns whether the engine has sent anything. */
  public boolean isSignOfLife() {
    return this == LISTED || this == NOT_LISTED || this == NO_REPORT;
  }
}
