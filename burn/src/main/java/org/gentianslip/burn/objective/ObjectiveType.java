package org.gentianslip.burn.objective;

/** Tells what an objective counts. Immutable and safe for use by several threads. */
public enum ObjectiveType {
  /** The share of requests that are answered completely. */
  AVAILABILITY,
  /** The share of streams whose first token is in time. */
  FIRST_TOKEN
}
