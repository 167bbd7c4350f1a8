package org.gentianslip.burn.objective;

/** The criterion that the requests of an objective must meet. Immutable and thread-safe. */
public enum ObjectiveType {
  /** The request is answered completely. */
  AVAILABILITY,
  /** The first token of a stream is in time. */
  FIRST_TOKEN
}
