package org.gentianslip.core.load;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.limit.ColdRate;

/**
 * Whether one start of a backend server may be sent work: not while it is backed off or pauses, and
 * at a limited rate just after a pause, and while it is cold or may have started again unnoticed.
 *
 * <p>After a success on a connection that does not refute a restart, it counts as cold. Not
 * thread-safe.
 */
final class Availability {

  /** How long no work is sent after the first of several failed connections in a row. */
  private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** The maximum time for which no work is sent after a failed connection. */
  private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  /** How long no work is sent after the backend server refused a request because it was full. */
  private static final long FULL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** How long a backend server counts as cold after other instances have reached it again. */
  private static final long RETURN_COLD_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * How long after the last failed connection an instance tries again although others are selected
   * to send first.
   */
  private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** How long after a pause the rate of requests grows until it is no longer limited. */
  private static final long RESUME_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** How long after a failure reports of others may still be from before it. */
  private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long RATE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Deque<Long> sends;
  private int consecutiveConnectFailures;
  private long backoffUntilNanos = Long.MIN_VALUE;
  private long coldUntilNanos = Long.MIN_VALUE;
  private long pausedUntilNanos = Long.MIN_VALUE;
  private int sentAfterPause;
  private final RestartSuspicion restart = new RestartSuspicion();
  private long unconfirmedUntilNanos = Long.MIN_VALUE;

  /** Creates the availability of a backend server to which nothing was sent. */
  Availability() {
    this(new ArrayDeque<>());
  }

  private Availability(Deque<Long> sends) {
    this.sends = sends;
  }

  /**
   * Returns the availability of the next start of the backend server, of which only the requests
   * that were sent last are known, as they may have reached it.
   */
  Availability ofNextStart() {
    return new Availability(new ArrayDeque<>(sends));
  }

  /** Counts a request that is about to be sent. */
  void recordSend(long nowNanos) {
    dropOldSends(nowNanos);
    sends.addLast(nowNanos);
    if (isResuming(nowNanos)) {
      sentAfterPause++;
    }
  }

  /** Blocks new work until the given time, unless it is blocked for longer. */
  void pauseUntil(long untilNanos) {
    if (pausedUntilNanos == Long.MIN_VALUE || untilNanos - pausedUntilNanos > 0) {
      pausedUntilNanos = untilNanos;
      sentAfterPause = 0;
    }
  }

  /** Returns how long new work is blocked by a pause, in nanoseconds; 0 if it is not. */
  long pauseNanos(long nowNanos) {
    return pausedUntilNanos == Long.MIN_VALUE ? 0 : Math.max(0, pausedUntilNanos - nowNanos);
  }

  /** Returns how long new work is blocked for a known time, in nanoseconds; 0 if it is not. */
  long blockedNanos(long nowNanos) {
    long backoff = backoffUntilNanos == Long.MIN_VALUE ? 0 : backoffUntilNanos - nowNanos;
    return Math.max(pauseNanos(nowNanos), backoff);
  }

  private boolean isResuming(long nowNanos) {
    return pausedUntilNanos != Long.MIN_VALUE
        && pauseNanos(nowNanos) == 0
        && nowNanos - pausedUntilNanos < RESUME_NANOS;
  }

  /** Returns whether a request keeps to the rate that grows after a pause. */
  private boolean isWithinResumeRate(long nowNanos, int slots) {
    double elapsedShare = (double) (nowNanos - pausedUntilNanos) / RESUME_NANOS;
    return sentAfterPause < 1 + elapsedShare * slots;
  }

  /** Records that the backend server has answered. */
  void recordAnswer() {
    consecutiveConnectFailures = 0;
  }

  /**
   * Blocks new work for a time that doubles with each failed connection in a row.
   *
   * @param begunNanos when the connection was begun
   */
  void recordUnreachable(long nowNanos, long begunNanos) {
    long backoffNanos = INITIAL_BACKOFF_NANOS << Math.min(consecutiveConnectFailures, 3);
    consecutiveConnectFailures++;
    backoffUntilNanos = nowNanos + Math.min(backoffNanos, MAX_BACKOFF_NANOS);
    restart.recordFailure(nowNanos, begunNanos);
  }

  /** Returns whether the backend server may have started again unnoticed. */
  RestartSuspicion restart() {
    return restart;
  }

  void recordFullRefusal(long nowNanos) {
    backoffUntilNanos = Math.max(backoffUntilNanos, nowNanos + FULL_BACKOFF_NANOS);
  }

  /**
   * Records that requests of other instances are running at the backend server; returns until when
   * it counts as cold if it has returned by that.
   */
  OptionalLong recordReachedByOthers(long nowNanos) {
    boolean blocked = backoffUntilNanos != Long.MIN_VALUE && nowNanos - backoffUntilNanos < 0;
    if (!restart.isOpen() || blocked || restart.ageNanos(nowNanos) < REPORT_NANOS) {
      return OptionalLong.empty();
    }
    restart.settle(nowNanos);
    consecutiveConnectFailures = 0;
    markColdUntil(nowNanos + RETURN_COLD_NANOS);
    return OptionalLong.of(nowNanos + RETURN_COLD_NANOS);
  }

  /** Records that until the given time only the backend server itself can say when it started. */
  void expectConfirmation(long untilNanos) {
    unconfirmedUntilNanos = untilNanos;
  }

  /** Records that the backend server has said when it started, which settles all suspicions. */
  void confirmStart(long nowNanos) {
    unconfirmedUntilNanos = Long.MIN_VALUE;
    consecutiveConnectFailures = 0;
    restart.settle(nowNanos);
  }

  /** Marks the backend server as cold, unless it is already marked for longer. */
  void markColdUntil(long untilNanos) {
    coldUntilNanos = Math.max(coldUntilNanos, untilNanos);
  }

  /** Returns whether it has answered since it may have started again, once for each such event. */
  boolean pollRecovered() {
    boolean recovered = restart.isOpen() && consecutiveConnectFailures == 0;
    if (recovered) {
      restart.settleByContact();
    }
    return recovered;
  }

  /** Returns how warm the backend server is believed to be. */
  Warmth warmth(long nowNanos) {
    boolean unconfirmed =
        unconfirmedUntilNanos != Long.MIN_VALUE && nowNanos - unconfirmedUntilNanos < 0;
    if (restart.isOpen() || unconfirmed) {
      return Warmth.UNCONFIRMED;
    }
    boolean cold = coldUntilNanos != Long.MIN_VALUE && nowNanos - coldUntilNanos < 0;
    return cold ? Warmth.COLD : Warmth.WARM;
  }

  /**
   * Returns whether a request may be sent now.
   *
   * @param slots the number of requests that the backend server runs at once
   * @param coldShare what this instance may send while the backend server is cold
   */
  boolean acceptsWork(long nowNanos, int slots, ColdShare coldShare) {
    if (pauseNanos(nowNanos) > 0 || isResuming(nowNanos) && !isWithinResumeRate(nowNanos, slots)) {
      return false;
    }
    if (backoffUntilNanos != Long.MIN_VALUE && nowNanos - backoffUntilNanos < 0) {
      return false;
    }
    if (warmth(nowNanos) == Warmth.WARM) {
      return true;
    }
    int limit = coldShare.perSecond();
    if (limit == ColdRate.UNLIMITED) {
      return true;
    }
    dropOldSends(nowNanos);
    boolean leftByOthers = restart.isOpen() && restart.ageNanos(nowNanos) >= RECOVERY_NANOS;
    if (sends.size() + 1 >= limit && warmth(nowNanos) == Warmth.UNCONFIRMED) {
      coldShare.usedUpUnconfirmed();
    }
    return sends.size() < (leftByOthers ? Math.max(1, limit) : limit);
  }

  private void dropOldSends(long nowNanos) {
    while (!sends.isEmpty() && nowNanos - sends.peekFirst() >= RATE_NANOS) {
      sends.removeFirst();
    }
  }
}
