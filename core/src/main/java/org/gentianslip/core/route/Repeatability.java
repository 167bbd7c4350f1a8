package org.gentianslip.core.route;

/** Says how often a request may run. Immutable and safe for use by several threads. */
public enum Repeatability {
  /** The request may run several times. */
  REPEATABLE,
  /** A later run may continue where an earlier one ended. */
  RESUMABLE,
  /** The request runs at most once. */
  ONCE;

  /** Returns whether the request may be sent again after it may have run. */
  public boolean allowsSecondRun() {
    return this != ONCE;
  }
}
