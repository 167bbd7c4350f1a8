package org.gentianslip.core.membership;

/** The state of an instance in the last published list. Thread-safe. */
public enum Listing {
  /** The list does not contain the instance. */
  ABSENT,
  /** The list contains the instance as live. */
  LIVE,
  /** The list contains the instance as leaving. */
  LEAVING
}
