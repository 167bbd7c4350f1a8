package org.gentianslip.standin.service;

import java.util.Objects;

/**
 * A fault of the next calls. Immutable.
 *
 * @param type what goes wrong
 * @param calls how many calls it meets
 * @param delayMillis the delay in milliseconds of the type {@code DELAY}
 */
public record ServiceFault(FaultType type, long calls, long delayMillis) {

  /** No fault. */
  public static final ServiceFault NONE = new ServiceFault(FaultType.NONE, Long.MAX_VALUE, 0);

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if one is negative
   */
  public ServiceFault {
    Objects.requireNonNull(type, "type");
    if (calls < 0 || delayMillis < 0) {
      throw new IllegalArgumentException(
          "calls and delayMillis must not be negative: " + calls + ", " + delayMillis);
    }
  }

  /** Returns a fault of all calls from now on. */
  public static ServiceFault always(FaultType type) {
    return new ServiceFault(type, Long.MAX_VALUE, 0);
  }

  /** Returns a fault of the next call only. */
  public static ServiceFault once(FaultType type) {
    return new ServiceFault(type, 1, 0);
  }

  /** Returns what is left of the fault after one call. */
  ServiceFault afterCall() {
    if (type == FaultType.NONE || calls == Long.MAX_VALUE) {
      return this;
    }
    return calls <= 1 ? NONE : new ServiceFault(type, calls - 1, delayMillis);
  }
}
