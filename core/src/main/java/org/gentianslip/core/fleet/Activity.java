package org.gentianslip.core.fleet;

/** How soon a member has to report to the relay of its data centre. */
public enum Activity {
  /** It puts no load on backend servers and reports less often. */
  IDLE,
  /** It reports in its turn. */
  BUSY,
  /** It has something to report that others must know at once. */
  URGENT
}
