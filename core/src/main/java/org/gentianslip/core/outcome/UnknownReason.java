package org.gentianslip.core.outcome;

/** Tells why it is unknown whether a request ran. Safe for use by several threads. */
public enum UnknownReason {
  /** Bytes of the request may have reached the backend server, and no answer came. */
  NO_ANSWER,
  /** The answer began but did not come in whole. */
  INCOMPLETE_ANSWER,
  /** The backend server answered with an error that does not tell whether the request ran. */
  BACKEND_ERROR,
  /** The instance that alone may run the request did not tell its outcome. */
  OWNER_SILENT,
  /** A repetition of the request is still under way. */
  IN_PROGRESS,
  /** The ticket expired, and whether it was used before is no longer remembered. */
  FORGOTTEN,
  /** Too many tickets are in use; this one is still good, so a repetition may run. */
  LEDGER_FULL
}
