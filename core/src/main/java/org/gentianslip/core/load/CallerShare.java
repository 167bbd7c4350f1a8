package org.gentianslip.core.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.InstanceId;

/**
 * Compares the requests that callers send to this instance with those of the others of its region,
 * and tells when a caller should connect anew.
 *
 * <p>Callers keep their connections, so that the first instance after a restart of all would serve
 * most of them for as long as they last. Safe for use by several threads.
 */
public final class CallerShare {

  /** The time over which requests are counted. */
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** How long another instance's count holds: several rounds of the exchange. */
  private static final long HEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** How far above the mean a count must be; callers that choose at random differ by less. */
  private static final double EXCESS = 1.5;

  /** The least requests a second that are worth a new connection. */
  private static final int LEAST = 20;

  /** The part of the excess that is moved by each answer, so that not all callers move at once. */
  private static final double MOVED_SHARE = 0.5;

  private final Map<InstanceId, Heard> others = new ConcurrentHashMap<>();
  private long startNanos = Long.MIN_VALUE;
  private int current;
  private int last;

  private record Heard(int requests, long heardNanos) {}

  /** Counts a request of a caller. */
  public synchronized void request(long nowNanos) {
    roll(nowNanos);
    current++;
  }

  /** Returns the requests of the last whole second, or of this one if they are more already. */
  public synchronized int requests(long nowNanos) {
    roll(nowNanos);
    return Math.max(current, last);
  }

  private void roll(long nowNanos) {
    if (startNanos != Long.MIN_VALUE && nowNanos - startNanos < WINDOW_NANOS) {
      return;
    }
    boolean next = startNanos != Long.MIN_VALUE && nowNanos - startNanos < 2 * WINDOW_NANOS;
    last = next ? current : 0;
    current = 0;
    startNanos = nowNanos;
  }

  /** Takes the requests of another instance of the region that serves. */
  public void heard(long nowNanos, InstanceId instance, int requests) {
    others.put(instance, new Heard(requests, nowNanos));
  }

  /** Forgets an instance that does not serve any more. */
  public void forget(InstanceId instance) {
    others.remove(instance);
  }

  /**
   * Returns whether the caller that is answered now should connect anew.
   *
   * @param fraction a number from 0 to 1, evenly spread over the answers
   */
  public boolean shouldMove(long nowNanos, double fraction) {
    int own = requests(nowNanos);
    if (own < LEAST) {
      return false;
    }
    int count = 1;
    double all = own;
    for (Heard other : others.values()) {
      if (nowNanos - other.heardNanos() < HEARD_NANOS) {
        count++;
        all += other.requests();
      }
    }
    double mean = all / count;
    return own > EXCESS * mean && fraction < MOVED_SHARE * (1 - mean / own);
  }
}
