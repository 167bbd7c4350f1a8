package org.gentianslip.core.load;

/** This instance's share of the rate of one cold backend server. */
@FunctionalInterface
public interface ColdShare {

  /** Returns the requests per second that may be sent. */
  int perSecond();

  /**
   * Called if the next request uses the share up, or exceeds it, at a backend server whose own word
   * on its start might allow more.
   */
  default void usedUpUnconfirmed() {}
}
