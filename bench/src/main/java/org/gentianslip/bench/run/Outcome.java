package org.gentianslip.bench.run;

/** Tells how a request ended. Immutable and safe for use by several threads. */
enum Outcome {
  /** The whole answer came and its first token was in time. */
  GOOD,
  /** The whole answer came and its first token was late. */
  LATE,
  /** The request was refused when it arrived; it has not run. */
  REFUSED_EARLY,
  /** The request was refused after it had waited; it has not run. */
  REFUSED_LATE,
  /** The answer broke off. */
  FAILED
}
