package org.gentianslip.load.call;

/** What a caller can say of a call. Immutable and safe for use by several threads. */
public enum Outcome {
  /** The answer is whole and the caller's own. */
  ANSWERED,
  /** The call did not run. */
  NOT_RUN,
  /** Whether the call ran is not known, or its answer broke off visibly. */
  UNKNOWN,
  /** The answer was called complete, but is not the whole answer to this call. */
  WRONG
}
