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
 * <p>It may have started again since a connection failed, an exchange broke or fell silent. An
 * answer on a connection from before the first of these refutes that, and so may its own word;
 * after a success on any other connection it counts as cold. Not thread-safe.
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

  /** The difference of the times at which one failure is told, as messages take time. */
  private static final long SAME_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long RATE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Deque<Long> sends;
  private int consecutiveConnectFailures;
  private long backoffUntilNanos = Long.MIN_VALUE;
  private long coldUntilNanos = Long.MIN_VALUE;
  private long pausedUntilNanos = Long.MIN_VALUE;
  private int sentAfterPause;
  private boolean mayHaveRestarted;

  /** The time since which it may have started again; defined while it may. */
  private long suspectedNanos;

  private long lastSignNanos;

  /** The last failed connection of any instance, as far as it is known. */
  private long failedNanos = Long.MIN_VALUE;

  /** The last part of an answer, and when its connection was established. */
  private long contactNanos = Long.MIN_VALUE;

  private long contactConnectedNanos;

  private long unconfirmedUntilNanos = Long.MIN_VALUE;

  /** When it was last concluded whether the backend server had started again. */
  private long settledNanos = Long.MIN_VALUE;

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
    failedNanos = begunNanos;
    suspectRestart(nowNanos, begunNanos);
  }

  /** Returns when a connection last failed, while the backend server may have started again. */
  OptionalLong failedNanos() {
    return mayHaveRestarted && failedNanos != Long.MIN_VALUE
        ? OptionalLong.of(failedNanos)
        : OptionalLong.empty();
  }

  /**
   * Records a failed connection of another instance, unless it is known or a later answer has
   * settled what it points to.
   *
   * @param heardNanos when it was begun, a little later if the message took time
   * @return whether nothing had pointed to a restart before
   */
  boolean recordFailureOfOthers(long nowNanos, long heardNanos) {
    boolean known = failedNanos != Long.MIN_VALUE && heardNanos - failedNanos <= SAME_FAILURE_NANOS;
    if (known || isSettled(heardNanos)) {
      return false;
    }
    failedNanos = heardNanos;
    return suspectRestart(nowNanos, heardNanos);
  }

  /** Returns whether it is known already if the backend server started again at a given time. */
  private boolean isSettled(long failureNanos) {
    boolean concluded = settledNanos != Long.MIN_VALUE && settledNanos - failureNanos > 0;
    boolean refuted =
        contactNanos != Long.MIN_VALUE
            && contactNanos - failureNanos > 0
            && contactConnectedNanos - failureNanos < 0;
    return concluded || refuted;
  }

  /**
   * Records that the backend server may have started again.
   *
   * @param sinceNanos the time since which it may have
   * @return whether nothing had pointed to that before
   */
  boolean suspectRestart(long nowNanos, long sinceNanos) {
    boolean first = !mayHaveRestarted;
    if (first || sinceNanos - suspectedNanos < 0) {
      suspectedNanos = sinceNanos;
    }
    mayHaveRestarted = true;
    lastSignNanos = nowNanos;
    return first;
  }

  /**
   * Records a part of an answer.
   *
   * @param connectedNanos when its connection was established
   * @return whether it shows that the backend server has not started again as suspected
   */
  boolean recordContact(long nowNanos, long connectedNanos) {
    contactNanos = nowNanos;
    contactConnectedNanos = connectedNanos;
    boolean refuted = mayHaveRestarted && connectedNanos - suspectedNanos < 0;
    if (refuted) {
      mayHaveRestarted = false;
      settledNanos = nowNanos;
    }
    return refuted;
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
    if (!mayHaveRestarted || blocked || nowNanos - lastSignNanos < REPORT_NANOS) {
      return OptionalLong.empty();
    }
    mayHaveRestarted = false;
    settledNanos = nowNanos;
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
    mayHaveRestarted = false;
    consecutiveConnectFailures = 0;
    settledNanos = nowNanos;
  }

  /** Marks the backend server as cold, unless it is already marked for longer. */
  void markColdUntil(long untilNanos) {
    coldUntilNanos = Math.max(coldUntilNanos, untilNanos);
  }

  /** Returns whether it has answered since it may have started again, once for each such event. */
  boolean pollRecovered() {
    boolean recovered = mayHaveRestarted && consecutiveConnectFailures == 0;
    if (recovered) {
      mayHaveRestarted = false;
      settledNanos = contactNanos;
    }
    return recovered;
  }

  /** Returns how warm the backend server is believed to be. */
  Warmth warmth(long nowNanos) {
    boolean unconfirmed =
        unconfirmedUntilNanos != Long.MIN_VALUE && nowNanos - unconfirmedUntilNanos < 0;
    if (mayHaveRestarted || unconfirmed) {
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
    boolean leftByOthers = mayHaveRestarted && nowNanos - lastSignNanos >= RECOVERY_NANOS;
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
