package org.gentianslip.core.load;

import java.util.concurrent.TimeUnit;

/**
 * How many requests of a service this instance sends to another region that refuses some.
 *
 * <p>After a refusal, requests are sent only as earlier ones are answered, a few more than answers
 * arrive, so that a region that is full is not flooded. That ends when a number of answers and a
 * given time have passed without a refusal. One request may be sent whenever none was for that
 * time, so that a region that answers again is noticed. The time grows with the instances that may
 * send, up to a bound. Thread-safe.
 */
public final class RegionPace {

  /** The shortest time after a refusal for which the pace is limited; over two round trips. */
  static final long MIN_LIMITED_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** The longest time after a refusal for which the pace is limited. */
  static final long MAX_LIMITED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_400);

  /** The instances up to which the time is the shortest one. */
  private static final int MAX_INSTANCES_AT_ONCE = 16;

  /** The requests that may be sent for each answer. */
  private static final double SENDS_PER_ANSWER = 1.04;

  /** The answers without a refusal after which the pace is no longer limited. */
  private static final int ANSWERS_PER_REFUSAL = 12;

  /** The most requests that may be sent at once for earlier answers. */
  private static final double MAX_CREDIT = 64;

  private boolean refused;
  private int answeredSince;
  private long refusedNanos;
  private long sentNanos;
  private double credit;
  private int instances = 1;

  /** Sets how many instances may send to the region. */
  public synchronized void setInstances(int count) {
    instances = Math.max(1, count);
  }

  /** Returns the time after which a request may be sent, in nanoseconds; 0 if it may be now. */
  public synchronized long delayNanos(long nowNanos) {
    if (!isLimited(nowNanos) || credit >= 1) {
      return 0;
    }
    return Math.max(0, sentNanos + limitedNanos() - nowNanos);
  }

  /** Records that a request is sent. */
  public synchronized void recordSend(long nowNanos) {
    credit = isLimited(nowNanos) ? Math.max(0, credit - 1) : 0;
    sentNanos = nowNanos;
  }

  /** Records that the region has answered a request, whatever the answer is. */
  public synchronized void recordAnswer(long nowNanos) {
    answeredSince = Math.min(ANSWERS_PER_REFUSAL, answeredSince + 1);
    if (isLimited(nowNanos)) {
      credit = Math.min(MAX_CREDIT, credit + SENDS_PER_ANSWER);
    }
  }

  /** Records that the region has refused a request. */
  public synchronized void recordRefusal(long nowNanos) {
    credit = isLimited(nowNanos) ? credit : 0;
    refused = true;
    answeredSince = 0;
    refusedNanos = nowNanos;
  }

  private boolean isLimited(long nowNanos) {
    boolean isRecent = nowNanos - refusedNanos < limitedNanos();
    return refused && (isRecent || answeredSince < ANSWERS_PER_REFUSAL);
  }

  private long limitedNanos() {
    double share = Math.max(1, (double) instances / MAX_INSTANCES_AT_ONCE);
    return (long) Math.min(MAX_LIMITED_NANOS, share * MIN_LIMITED_NANOS);
  }
}
