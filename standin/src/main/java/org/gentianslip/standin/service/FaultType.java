package org.gentianslip.standin.service;

import java.util.Locale;

/** The injected faults of a call. */
public enum FaultType {
  /** No fault. */
  NONE,
  /** The call is refused before its start, with status 503. */
  REFUSE,
  /** The call is neither executed nor answered. */
  HANG_BEFORE,
  /** The call is executed but not answered. */
  HANG_AFTER,
  /** The connection is closed and the call is not executed. */
  CLOSE_BEFORE,
  /** The call is executed and the connection is closed without a response. */
  CLOSE_AFTER,
  /** The call is executed and answered with status 500. */
  FAIL_AFTER,
  /** The call is executed and answered after a delay, even if its client has disconnected. */
  DELAY;

  /**
   * Returns the type with a name such as {@code hang-after}.
   *
   * @throws IllegalArgumentException if there is no such type
   */
  static FaultType parse(String name) {
    try {
      return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("unknown fault: \"" + name + "\"", e);
    }
  }
}
