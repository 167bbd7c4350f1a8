package org.gentianslip.core.membership;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gentianslip.core.id.RegionId;

/**
 * Limits the share of requests that may be sent to another region after it failed or refused work.
 *
 * <p>After a failure, no requests are sent to the region for a wait that doubles with each failure
 * in a row, up to a maximum. It has a jitter derived from the seed, so that instances do not resume
 * at the same time. After the wait, the admitted share doubles in steps from one sixteenth to all
 * requests; a failure in between starts the next wait. The hash of a request decides whether it
 * belongs to the share. Reads are lock-free. Thread-safe.
 */
public final class RegionBackoff {

  /** The shortest wait after a failure, before jitter, in nanoseconds. */
  public static final long MIN_WAIT_NANOS = 250_000_000L;

  /** The longest wait after a failure, before jitter, in nanoseconds. */
  public static final long MAX_WAIT_NANOS = 16_000_000_000L;

  /** The duration of each step of the increasing share, in nanoseconds. */
  public static final long STEP_NANOS = 1_000_000_000L;

  /** The number of doublings from the smallest share to all requests. */
  public static final int DOUBLINGS = 4;

  private static final int MAX_EXPONENT = 6;

  private final long seed;
  private final Map<RegionId, State> states = new ConcurrentHashMap<>();

  private record State(int failures, long resumeNanos) {}

  /**
   * Creates the backoff of an instance, which admits all requests to all regions.
   *
   * @param seed a number that differs between instances
   */
  public RegionBackoff(long seed) {
    this.seed = seed;
  }

  /**
   * Records that a region refused a request or did not answer.
   *
   * <p>The failure of a request that was sent before the last wait ended changes nothing. Requests
   * that were in flight at the same time therefore count once, however late they fail.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param sentNanos when the failed request was sent, in nanoseconds of the monotonic clock
   * @param region the region
   */
  public void failed(long nowNanos, long sentNanos, RegionId region) {
    states.compute(region, (r, s) -> next(nowNanos, sentNanos, r, s));
  }

  /**
   * Records that a region answered; if all requests are admitted again, its failures are forgotten.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param region the region
   */
  public void succeeded(long nowNanos, RegionId region) {
    states.computeIfPresent(region, (r, s) -> admittedShare(nowNanos, s) >= 1 ? null : s);
  }

  /**
   * Returns whether a request may be sent to a region.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param region the region
   * @param requestHash a uniformly distributed hash of the request
   */
  public boolean admits(long nowNanos, RegionId region, long requestHash) {
    State s = states.get(region);
    return s == null || RendezvousHash.fraction(requestHash) < admittedShare(nowNanos, s);
  }

  private State next(long nowNanos, long sentNanos, RegionId region, State s) {
    if (s != null && sentNanos - s.resumeNanos() < 0) {
      return s;
    }
    int failures = s == null ? 1 : s.failures() + 1;
    long waitNanos =
        Math.min(MAX_WAIT_NANOS, MIN_WAIT_NANOS << Math.min(MAX_EXPONENT, failures - 1));
    double jitter =
        RendezvousHash.fraction(RendezvousHash.hash(seed + "/" + failures, region.value()));
    return new State(failures, nowNanos + waitNanos / 2 + (long) (waitNanos * jitter));
  }

  private static double admittedShare(long nowNanos, State s) {
    long resumedForNanos = nowNanos - s.resumeNanos();
    if (resumedForNanos < 0) {
      return 0;
    }
    long doublings = Math.min(DOUBLINGS, resumedForNanos / STEP_NANOS);
    return 1.0 / (1 << (DOUBLINGS - doublings));
  }
}
