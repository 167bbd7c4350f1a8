package org.gentianslip.load.call;

/** What a caller knows about the execution of a call. Immutable and thread-safe. */
public enum CallOutcome {
  /** The call got its complete answer. */
  ANSWERED,
  /** The call is known not to have run. */
  NOT_RUN,
  /** It is not known whether the call ran, or its answer was visibly cut off. */
  UNKNOWN,
  /** The entry reported a complete answer, but it is not the expected answer to this call. */
  WRONG
}
