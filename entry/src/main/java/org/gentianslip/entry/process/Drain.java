package org.gentianslip.entry.process;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gentianslip.entry.peer.HelloExchange;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.SettingCatalog;
import org.gentianslip.settings.Settings;

/**
 * Shuts an instance down gracefully.
 *
 * <p>It first announces that the instance is leaving, so that callers and peers use other
 * instances, and then waits until no request is in flight. It runs at most once. Safe for use by
 * several threads.
 */
final class Drain {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Duration MIN_ANNOUNCEMENT_TIME = Duration.ofSeconds(2);
  private static final long POLL_MILLIS = 20;

  private final FleetState state;
  private final InFlightCounter inFlight;
  private final HelloExchange hellos;
  private final AtomicBoolean begun = new AtomicBoolean();
  private final CountDownLatch closed = new CountDownLatch(1);

  Drain(FleetState state, InFlightCounter inFlight, HelloExchange hellos) {
    this.state = state;
    this.inFlight = inFlight;
    this.hellos = hellos;
  }

  /**
   * Announces that the instance is leaving and waits for the requests in flight.
   *
   * @return true if this call did so, false if an earlier call has begun the drain
   */
  boolean run() {
    if (!begun.compareAndSet(false, true)) {
      return false;
    }
    long startNanos = System.nanoTime();
    state.markLeaving();
    LOGGER.atInfo().log("drain: Started with %s requests in flight.", inFlight.count());
    hellos.sendDue(startNanos);
    hellos.announceToRegion();
    while (!isDone(System.nanoTime() - startNanos)) {
      pause();
    }
    LOGGER.atInfo().log("drain: Ended with %s requests in flight.", inFlight.count());
    return true;
  }

  private boolean isDone(long elapsedNanos) {
    if (elapsedNanos < MIN_ANNOUNCEMENT_TIME.toNanos()) {
      return false;
    }
    return inFlight.count() == 0 || elapsedNanos > timeout().toNanos();
  }

  /**
   * Returns the maximum time of the drain. A settings revision that comes into force during the
   * drain applies to it as well.
   */
  private Duration timeout() {
    Settings settings = state.settings();
    return settings == null
        ? SettingCatalog.DRAIN_TIMEOUT.defaultValue()
        : settings.effectiveForInstance(state.config().region()).get(SettingCatalog.DRAIN_TIMEOUT);
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void markClosed() {
    closed.countDown();
  }

  void awaitClosed() throws InterruptedException {
    closed.await();
  }
}
