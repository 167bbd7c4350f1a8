package org.gentianslip.entry.clock;

import org.gentianslip.core.time.ClockReading;

/** The clocks of this machine. Stateless and safe for use by several threads. */
public final class Clocks {

  private Clocks() {}

  /** Returns a present reading of both clocks. */
  public static ClockReading read() {
    return new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }
}
