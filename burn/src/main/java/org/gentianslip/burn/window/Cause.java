package org.gentianslip.burn.window;

import java.util.Locale;

/** Tells why a request ended badly. Immutable and safe for use by several threads. */
public enum Cause {
  /** It was refused and did not run. */
  REFUSAL,
  /** It broke off, and whether it ran is not known. */
  UNKNOWN,
  /** It was answered, but its first token was late. */
  LATENESS;

  /** Returns the name in reports. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
