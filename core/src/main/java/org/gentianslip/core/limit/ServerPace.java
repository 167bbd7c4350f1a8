package org.gentianslip.core.limit;

import java.util.concurrent.TimeUnit;

/**
 * How many requests all instances together may have at a backend server that starts or recovers.
 *
 * <p>The number grows by the same rule at every instance: it doubles in a fixed time from the
 * return of the server, which all of them learn at about the same time. Each instance scales it by
 * what the answers to its own requests tell: a refusal, a failure or a slow answer halves its part,
 * prompt answers raise it again. An instance that gets no answers raises its part with time, so
 * that no setback lasts for ever. The limit ends when the number is well above the server's slots
 * and no setback is left, and after a fixed time at the latest. Not thread-safe.
 */
public final class ServerPace {

  /** The time in which the number of requests doubles after the first return. */
  static final long DOUBLING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** The longest such time, for a server that keeps returning. */
  static final long MAX_DOUBLING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  /** A server that returns again within this time is given work more slowly than before. */
  static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Two times of a return that differ by less are the same return. */
  static final long CORRECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** The longest time after a return for which the number is limited. */
  static final long MAX_LIMITED_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** The time without a setback after which an instance doubles its part. */
  static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** The shortest time between two setbacks that count, as many answers may be late at once. */
  private static final long SETBACK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** An answer is slow if it took this many times as long as expected. */
  private static final double SLOW_FACTOR = 3;

  /** The expected time below which answers are not compared, in milliseconds. */
  private static final double MIN_COMPARED_MILLIS = 50;

  private static final double MIN_PART = 1.0 / 64;
  private static final double RAISE = 1.25;

  /** The limit ends above this multiple of the slots. */
  private static final int SLOT_MULTIPLE = 2;

  private static final long NEVER = Long.MIN_VALUE;

  private long begunNanos = NEVER;
  private long doublingNanos = DOUBLING_NANOS;
  private long setbackNanos = NEVER;
  private double part = 1;

  /** When a request or an answer last showed that the server works. */
  private long progressNanos = NEVER;

  private double expectedMillis;

  /**
   * Begins to limit the requests at a server that returns at the given time.
   *
   * <p>A server that returns again soon is given work at half the speed of the time before. A time
   * that is only a little later is a correction of the one before.
   */
  public void begin(long returnNanos) {
    if (begunNanos != NEVER && returnNanos - begunNanos < CORRECTION_NANOS) {
      begunNanos = Math.max(begunNanos, returnNanos);
      return;
    }
    boolean again = begunNanos != NEVER && returnNanos - begunNanos < CALM_NANOS;
    doublingNanos = again ? Math.min(MAX_DOUBLING_NANOS, 2 * doublingNanos) : DOUBLING_NANOS;
    part = again ? part : 1;
    begunNanos = returnNanos;
  }

  /** Returns whether the number of requests is limited now. */
  public boolean isLimited(long nowNanos, int slots) {
    if (begunNanos == NEVER || nowNanos - begunNanos >= MAX_LIMITED_NANOS) {
      return false;
    }
    return nowNanos - begunNanos >= 0
        && (part(nowNanos) < 1 || grown(nowNanos) < SLOT_MULTIPLE * slots);
  }

  /**
   * Returns how many requests all instances together may have at the server, in the view of this
   * instance; at least 1, so that one request can find out whether the server answers.
   *
   * @param running the requests of this instance that are at the server
   */
  public int total(long nowNanos, int slots, int running) {
    double grown = Math.min(slots, grown(nowNanos));
    return (int) Math.max(1, part(nowNanos) * grown * overdueShare(nowNanos, running));
  }

  /** Returns the share that is left while answers are overdue; it halves with each overdue time. */
  private double overdueShare(long nowNanos, int running) {
    if (running == 0 || progressNanos == NEVER) {
      return 1;
    }
    long overdueTimes = (long) ((nowNanos - progressNanos) / slowMillis(expectedMillis) / 1e6);
    return Math.pow(2, -overdueTimes);
  }

  private static double slowMillis(double expected) {
    return SLOW_FACTOR * Math.max(MIN_COMPARED_MILLIS, expected);
  }

  /**
   * Records that a request is about to be sent.
   *
   * @param running the requests of this instance that are at the server without this one
   * @param expected the time to its answer, or to the first event of a stream, in milliseconds
   */
  public void recordSend(long nowNanos, int running, double expected) {
    expectedMillis = expected;
    if (running == 0) {
      progressNanos = nowNanos;
    }
  }

  private double grown(long nowNanos) {
    return Math.pow(2, (double) Math.max(0, nowNanos - begunNanos) / doublingNanos);
  }

  /** Returns the part of the common number that this instance uses, with what time has restored. */
  private double part(long nowNanos) {
    if (part >= 1 || setbackNanos == NEVER) {
      return part;
    }
    long renewals = Math.max(0, (nowNanos - setbackNanos) / RENEWAL_NANOS);
    return Math.min(1, part * Math.pow(2, renewals));
  }

  /**
   * Records the time to an answer or to the first event of a stream.
   *
   * @param expected the time that was expected when the request was sent, in milliseconds
   * @param actualMillis the time that it took, in milliseconds
   */
  public void recordAnswer(long nowNanos, int slots, double expected, double actualMillis) {
    progressNanos = nowNanos;
    if (!isLimited(nowNanos, slots)) {
      return;
    }
    if (actualMillis > slowMillis(expected)) {
      recordSetback(nowNanos, slots);
      return;
    }
    part = Math.min(1, part(nowNanos) * RAISE);
    setbackNanos = part >= 1 ? NEVER : nowNanos;
  }

  /** Records that the server refused a request as full, or failed to answer one. */
  public void recordSetback(long nowNanos, int slots) {
    progressNanos = nowNanos;
    boolean recent = setbackNanos != NEVER && nowNanos - setbackNanos < SETBACK_NANOS;
    if (!isLimited(nowNanos, slots) || (recent && part < 1)) {
      return;
    }
    part = Math.max(MIN_PART, part(nowNanos) / 2);
    setbackNanos = nowNanos;
  }
}
