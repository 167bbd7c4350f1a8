package org.gentianslip.core.route;

/** How often a request may run. Immutable and thread-safe. */
public enum Repeatability {
  /** The request may run any number of times. */
  REPEATABLE,
  /** A later run may resume the stream where an earlier run ended. */
  RESUMABLE,
  /** The request runs at most once. */
  ONCE;

  /** Returns whether the request may be sent again after it may have run. */
  public boolean allowsRepeat() {
    return this != ONCE;
  }
}
