package org.gentianslip.core.id;

/** Orders work by urgency. Immutable and safe for use by several threads. */
public enum Rank {
  /** Work whose callers must be answered in time. */
  URGENT,
  /** All other work. */
  OTHER
}
