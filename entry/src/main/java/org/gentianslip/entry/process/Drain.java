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
 * Ends an instance gracefully.
 *
 * <p>It announces the leaving first, so that callers and peers look elsewhere, and waits until no
 * request is in flight. It runs once. Safe for use by several threads.
 */
final class Drain {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Duration ANNOUNCE = Duration.ofSeconds(2);
  private static final long POLL_MILLIS = 20;

  private final FleetState state;
  private final InFlight inFlight;
  private final HelloExchange hellos;
  private final AtomicBoolean begun = new AtomicBoolean();
  private final CountDownLatch closed = new CountDownLatch(1);

  Drain(FleetState state, InFlight inFlight, HelloExchange hellos) {
    this.state = state;
    this.inFlight = inFlight;
    this.hellos = hellos;
  }

  /**
   * Announces the leaving and waits for requests in flight.
   *
   * @return whether this call did it; otherwise another one had begun
   */
  boolean run() {
    if (!begun.compareAndSet(false, true)) {
      return false;
    }
    long start = System.nanoTime();
    state.leave();
    LOGGER.atInfo().log("drain: %s requests are in flight.", inFlight.count());
    hellos.round(start);
    hellos.announce();
    while (!done(System.nanoTime() - start)) {
      pause();
    }
    LOGGER.atInfo().log("drain: %s requests are left.", inFlight.count());
    return true;
  }

  private boolean done(long elapsedNanos) {
    if (elapsedNanos < ANNOUNCE.toNanos()) {
      return false;
    }
    return inFlight.count() == 0 || elapsedNanos > longest().toNanos();
  }

  /** Returns how long to wait; a revision that comes in force meanwhile counts. */
  private Duration longest() {
    Settings settings = state.settings();
    return settings == null
        ? SettingCatalog.DRAIN_TIMEOUT.defaultValue()
        : settings.effectiveForInstance(state.place().region()).get(SettingCatalog.DRAIN_TIMEOUT);
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void closed() {
    closed.countDown();
  }

  void awaitClosed() throws InterruptedException {
    closed.await();
  }
}
