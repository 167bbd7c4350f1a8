package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.load.RetryDelay;
import org.gentianslip.core.overload.PresentCapacity;
import org.gentianslip.core.overload.ProcessorAdmission;
import org.gentianslip.core.overload.ProcessorDecision;
import org.gentianslip.core.overload.ProcessorLoad;
import org.gentianslip.core.route.Route;

/**
 * Guards the processor of this instance: it measures how long requests wait in the event loops,
 * refuses some while that is too long, and states a lower capacity to other instances meanwhile.
 *
 * <p>Safe for use by several threads.
 */
final class ProcessorGuard {

  /** The reason for refusing a request because of the processor of this instance. */
  static final String OVERLOADED = "overloaded";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The shortest time by which a request counts as late: that in which the delay is renewed. */
  private static final double MIN_EXCESS_MILLIS = 250;

  private static final double NANOS_PER_MILLI = 1e6;

  private final ProcessorLoad load = new ProcessorLoad();
  private final ProcessorAdmission admission = new ProcessorAdmission();
  private final PresentCapacity capacity;

  /** Creates a guard for an instance of a size in hundredths of a core. */
  ProcessorGuard(int size) {
    capacity = new PresentCapacity(size);
  }

  /** Records the wait of a request that is handled; returns whether the processor is overloaded. */
  boolean recordWait(long nowNanos, BufferedHttpRequest request) {
    load.record(nowNanos, nowNanos - request.receivedNanos());
    return load.isOverloaded(nowNanos);
  }

  /** Returns the present delay in the event loops, in nanoseconds. */
  long delayNanos(long nowNanos) {
    return load.delayNanos(nowNanos);
  }

  /**
   * Returns the time left when a request was read, in milliseconds. Before it was read, it waited
   * in the socket for about as long as others wait in the event loop.
   *
   * @param statedMillis the time that the request states, in milliseconds
   */
  long remainingMillis(long nowNanos, long statedMillis) {
    long unreadMillis = TimeUnit.NANOSECONDS.toMillis(load.delayNanos(nowNanos));
    return Math.max(0, statedMillis - unreadMillis);
  }

  /** Returns whether what callers sent may be unread in their sockets for long. */
  boolean isDelayed(long nowNanos) {
    return load.delayNanos(nowNanos) >= ProcessorLoad.DELAYED_NANOS;
  }

  /**
   * Returns the retry delay of a request that is refused, in milliseconds; empty if it is admitted.
   *
   * @param remainingMillis how long the caller still waits, in milliseconds
   */
  OptionalLong retryAfterMillis(
      long nowNanos, String id, BufferedHttpRequest request, Route route, long remainingMillis) {
    long waitNanos = nowNanos - request.receivedNanos();
    ProcessorDecision decision =
        admission.decide(
            nowNanos, load, waitNanos, route.rank() == 0, route.objectiveMillis(), remainingMillis);
    if (!(decision instanceof ProcessorDecision.Refused refused)) {
      return OptionalLong.empty();
    }
    LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "gateway: event=overloaded id=%s route=%s rank=%s wait=%s delay=%s age=%s expected=%s"
            + " limit=%s remaining=%s capacity=%s",
        id,
        route.name(),
        route.rank(),
        Math.round(waitNanos / NANOS_PER_MILLI),
        Math.round(load.delayNanos(nowNanos) / NANOS_PER_MILLI),
        Math.round(load.ageNanos(nowNanos) / NANOS_PER_MILLI),
        Math.round(refused.expectedMillis()),
        Math.round(refused.limitMillis()),
        remainingMillis,
        capacity.current());
    double excessMillis =
        Math.max(MIN_EXCESS_MILLIS, refused.expectedMillis() - refused.limitMillis());
    double fraction = ThreadLocalRandom.current().nextDouble();
    return OptionalLong.of(RetryDelay.millis(excessMillis, remainingMillis, fraction));
  }

  /**
   * Updates the capacity that is stated to others; called by the periodic checks.
   *
   * @param stranded whether requests that arrive here are passed on to neighbours
   */
  void updateCapacity(long nowNanos, boolean stranded) {
    if (capacity.update(nowNanos, stranded || admission.isRefusing(nowNanos))) {
      LOGGER.atInfo().log(
          "gateway: event=capacity stated=%s stranded=%s delay=%s age=%s",
          capacity.current(),
          stranded,
          Math.round(load.delayNanos(nowNanos) / NANOS_PER_MILLI),
          Math.round(load.ageNanos(nowNanos) / NANOS_PER_MILLI));
    }
  }

  /** Returns the present capacity of this instance, in hundredths of a core. */
  int capacity() {
    return capacity.current();
  }
}
