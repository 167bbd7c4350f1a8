package org.gentianslip.standin.service;

import java.util.Objects;

/**
 * A fault that is injected into the next calls. Immutable.
 *
 * @param type the type of the fault
 * @param calls the number of calls that have the fault
 * @param delayMillis the delay of the type {@code DELAY}, in milliseconds
 */
public record ServiceFault(FaultType type, long calls, long delayMillis) {

  /** No fault. */
  public static final ServiceFault NONE = new ServiceFault(FaultType.NONE, Long.MAX_VALUE, 0);

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public ServiceFault {
    Objects.requireNonNull(type, "type");
    if (calls < 0 || delayMillis < 0) {
      throw new IllegalArgumentException(
          "calls and delayMillis must not be negative: " + calls + ", " + delayMillis);
    }
  }

  /** Returns a fault of all following calls. */
  public static ServiceFault always(FaultType type) {
    return new ServiceFault(type, Long.MAX_VALUE, 0);
  }

  /** Returns a fault of the next call only. */
  public static ServiceFault once(FaultType type) {
    return new ServiceFault(type, 1, 0);
  }

  /** Returns the fault that remains after one more call. */
  ServiceFault remainingAfterCall() {
    if (type == FaultType.NONE || calls == Long.MAX_VALUE) {
      return this;
    }
    return calls <= 1 ? NONE : new ServiceFault(type, calls - 1, delayMillis);
  }
}
