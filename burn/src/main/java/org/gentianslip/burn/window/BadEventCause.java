package org.gentianslip.burn.window;

import java.util.Locale;

/** Why a request counts as bad. Immutable and thread-safe. */
public enum BadEventCause {
  /** The request was refused and did not run. */
  REFUSAL,
  /** The request was cut off, and it is not known whether it ran. */
  UNKNOWN,
  /** The request was answered, but its first token was late. */
  LATENESS;

  /** Returns the name of the cause in reports. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
