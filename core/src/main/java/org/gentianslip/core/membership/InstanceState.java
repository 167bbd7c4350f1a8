package org.gentianslip.core.membership;

/** The believed state of an instance. Thread-safe. */
public enum InstanceState {
  /** The instance answered recently, or was listed so recently that it had no time to answer. */
  LIVE,
  /** The instance has announced its shutdown, or is listed as leaving. */
  LEAVING,
  /** The instance is listed or known from peers, but has not answered recently. */
  SILENT,
  /** The instance is not listed and has been silent for a long time. */
  GONE
}
