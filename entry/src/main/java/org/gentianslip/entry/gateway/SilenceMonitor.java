package org.gentianslip.entry.gateway;

import java.util.concurrent.TimeUnit;

/** Tells a request when its attempt gave no sign for too long. Used on one event loop only. */
final class SilenceMonitor {

  private final Attempt attempt;
  private final long boundMillis;

  private SilenceMonitor(Attempt attempt, long boundMillis) {
    this.attempt = attempt;
    this.boundMillis = boundMillis;
  }

  /** Watches an attempt until its request goes on without it, or until it was silent once. */
  static void start(Attempt attempt, long boundMillis) {
    new SilenceMonitor(attempt, boundMillis).lookAfter(boundMillis);
  }

  private void lookAfter(long millis) {
    attempt.run().sink().loop().schedule(this::look, millis, TimeUnit.MILLISECONDS);
  }

  private void look() {
    if (!attempt.run().goesOnWith(attempt)) {
      return;
    }
    long silentNanos = System.nanoTime() - attempt.lastHeardNanos();
    long silent = TimeUnit.NANOSECONDS.toMillis(silentNanos);
    if (silent < boundMillis) {
      lookAfter(boundMillis - silent + 1);
      return;
    }
    attempt.run().silent(attempt, silent);
  }
}
