package org.gentianslip.core.id;

/** The urgency of work, the most urgent first. Immutable and thread-safe. */
public enum Rank {
  /** Work with callers that must be answered in time. */
  URGENT,
  /** All other work. */
  OTHER
}
