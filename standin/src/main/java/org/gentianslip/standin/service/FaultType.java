package org.gentianslip.standin.service;

import java.util.Locale;

/** What goes wrong with a call of a service. */
public enum FaultType {
  /** Nothing. */
  NONE,
  /** The call is refused before its start, with the documented answer. */
  REFUSE,
  /** The call is neither executed nor answered. */
  HANG_BEFORE,
  /** The call is executed and never answered. */
  HANG_AFTER,
  /** The connection is closed and the call is not executed. */
  CLOSE_BEFORE,
  /** The call is executed and the connection is closed without an answer. */
  CLOSE_AFTER,
  /** The call is executed and answered 500. */
  FAIL_AFTER,
  /** The call is executed and answered after a delay, even if its caller has gone. */
  DELAY;

  /**
   * Returns the type with a name such as {@code hang-after}.
   *
   * @throws IllegalArgumentException if there is none
   */
  static FaultType parse(String name) {
    try {
      return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("fault is unknown: \"" + name + "\"", e);
    }
  }
}
