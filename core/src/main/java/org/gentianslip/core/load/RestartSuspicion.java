package org.gentianslip.core.load;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Whether a backend server may have started again unnoticed.
 *
 * <p>It may have since a connection failed, or an exchange broke or fell silent. An answer on a
 * connection from before the first of these refutes that, as the connection would have ended with
 * the process. Not thread-safe.
 */
final class RestartSuspicion {

  /** The difference of the times at which one failure is told, as messages take time. */
  private static final long SAME_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private boolean open;

  /** The time since which it may have started again; defined while that is open. */
  private long suspectedNanos;

  private long lastSignNanos;

  /** The last failed connection of any instance, as far as it is known. */
  private long failedNanos = Long.MIN_VALUE;

  /** The last part of an answer, and when its connection was established. */
  private long contactNanos = Long.MIN_VALUE;

  private long contactConnectedNanos;

  /** When it was last concluded whether the backend server had started again. */
  private long settledNanos = Long.MIN_VALUE;

  /** Returns whether it may have started again. */
  boolean isOpen() {
    return open;
  }

  /** Returns the time since the last sign of a restart; defined while that is open. */
  long ageNanos(long nowNanos) {
    return nowNanos - lastSignNanos;
  }

  /**
   * Records a sign of a restart.
   *
   * @param sinceNanos the time since which it may have started again
   * @return whether nothing had pointed to that before
   */
  boolean raise(long nowNanos, long sinceNanos) {
    boolean first = !open;
    if (first || sinceNanos - suspectedNanos < 0) {
      suspectedNanos = sinceNanos;
    }
    open = true;
    lastSignNanos = nowNanos;
    return first;
  }

  /**
   * Records a failed connection of this instance.
   *
   * @param begunNanos when the connection was begun
   */
  void recordFailure(long nowNanos, long begunNanos) {
    failedNanos = begunNanos;
    raise(nowNanos, begunNanos);
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
    return raise(nowNanos, heardNanos);
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

  /** Returns when a connection last failed, while a restart is possible. */
  OptionalLong failedNanos() {
    return open && failedNanos != Long.MIN_VALUE
        ? OptionalLong.of(failedNanos)
        : OptionalLong.empty();
  }

  /**
   * Records a part of an answer.
   *
   * @param connectedNanos when its connection was established
   * @return whether it refutes a restart that was possible
   */
  boolean recordContact(long nowNanos, long connectedNanos) {
    contactNanos = nowNanos;
    contactConnectedNanos = connectedNanos;
    boolean refuted = open && connectedNanos - suspectedNanos < 0;
    if (refuted) {
      settle(nowNanos);
    }
    return refuted;
  }

  /** Records that it is known now whether the backend server started again. */
  void settle(long nowNanos) {
    open = false;
    settledNanos = nowNanos;
  }

  /** Records that the last answer has told whether the backend server started again. */
  void settleByContact() {
    settle(contactNanos);
  }
}
