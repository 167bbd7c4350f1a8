package org.gentianslip.core.membership;

/** Tells what the last published list says of an instance. Safe for use by several threads. */
public enum Listing {
  /** The list does not hold it. */
  ABSENT,
  /** The list holds it as live. */
  LIVE,
  /** The list holds it as leaving. */
  LEAVING
}
