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
  OWNER_SILENT
}
