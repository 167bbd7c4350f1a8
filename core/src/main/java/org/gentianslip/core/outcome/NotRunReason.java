package org.gentianslip.core.outcome;

/** The reason why it is certain that a request did not run. Thread-safe. */
public enum NotRunReason {
  /** No byte of the request was written to a backend server, and none will be. */
  NOT_WRITTEN,
  /** The backend server refused the request before it started, with the documented answer. */
  REFUSED_BEFORE_START,
  /** The ticket expired before the first byte was written. */
  EXPIRED_BEFORE_WRITE,
  /** The ticket was withdrawn before it was used and can no longer be used. */
  WITHDRAWN,
  /** The ticket expired before it was used and can no longer be used. */
  EXPIRED_UNUSED,
  /** The ticket is forged or bound to another call, so it can never run this one. */
  TICKET_INVALID,
  /** Too many tickets are in use; this one was not used and can no longer be used. */
  LEDGER_FULL
}
