package org.gentianslip.core.outcome;

/** The reason why it is unknown whether a request ran. Thread-safe. */
public enum UnknownReason {
  /** Bytes of the request may have reached the backend server, but no answer was received. */
  NO_ANSWER,
  /** The answer was received only in part. */
  INCOMPLETE_ANSWER,
  /** The backend server answered with an error that does not show whether the request ran. */
  BACKEND_ERROR,
  /** The only instance that may run the request did not report the outcome. */
  OWNER_SILENT,
  /** Another attempt at the same request is still in progress. */
  IN_PROGRESS,
  /** The ticket has expired, and it is no longer known whether it was used before. */
  FORGOTTEN,
  /** Too many tickets are in use; this one is still valid, so a later attempt may run. */
  LEDGER_FULL
}
