package org.gentianslip.entry.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Notifies a request when its attempt has received nothing for too long. Confined to one event
 * loop.
 */
final class SilenceMonitor {

  private final Attempt attempt;
  private final long timeoutMillis;

  private SilenceMonitor(Attempt attempt, long timeoutMillis) {
    this.attempt = attempt;
    this.timeoutMillis = timeoutMillis;
  }

  /** Monitors an attempt until it is no longer current or has been reported as silent. */
  static void start(Attempt attempt, long timeoutMillis) {
    new SilenceMonitor(attempt, timeoutMillis).scheduleCheck(timeoutMillis);
  }

  private void scheduleCheck(long millis) {
    attempt.execution().writer().eventLoop().schedule(this::check, millis, TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (!attempt.execution().isCurrent(attempt)) {
      return;
    }
    long silentNanos = System.nanoTime() - attempt.lastReceivedNanos();
    long silentMillis = TimeUnit.NANOSECONDS.toMillis(silentNanos);
    if (silentMillis < timeoutMillis) {
      scheduleCheck(timeoutMillis - silentMillis + 1);
      return;
    }
    attempt.execution().onSilence(attempt, silentMillis, timeoutMillis);
  }
}
