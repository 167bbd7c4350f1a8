package org.gentianslip.bench.run;

/** How a request ended. Immutable and thread-safe. */
enum RequestOutcome {
  /** The answer is complete and its first token was in time. */
  GOOD,
  /** The answer is complete, but its first token was late. */
  LATE,
  /** The request was refused on arrival; it has not run. */
  REFUSED_EARLY,
  /**
   * The request was refused after it had waited in a queue or an attempt had failed; it has not
   * run.
   */
  REFUSED_LATE,
  /** The answer was cut off. */
  FAILED
}
