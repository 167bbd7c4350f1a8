package org.gentianslip.core.overload;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * How long requests wait in the event loops of this instance, as a measure of the load of its
 * processor.
 *
 * <p>The present delay is the largest wait of the last 250 ms in which requests were recorded. It
 * expires when no request was recorded for 1 s, so it cannot outlast the load. A single long pass
 * of an event loop is no overload: the processor counts as overloaded once all waits of 100 ms were
 * long. Thread-safe: the state is swapped as a whole.
 */
public final class ProcessorLoad {

  /** The time without a request after which nothing is believed any more, in nanoseconds. */
  public static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The wait from which an event loop counts as delayed, in nanoseconds. */
  public static final long DELAYED_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Half of the time over which the largest wait is kept, in nanoseconds. */
  private static final long SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(125);

  /** How long all waits must have been long, in nanoseconds. */
  private static final long PERSISTENT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** A request that was read this long after the last one was handled met an idle event loop. */
  private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final AtomicReference<State> state = new AtomicReference<>();

  /**
   * What was recorded.
   *
   * @param sliceNanos the begin of the present slice
   * @param maxNanos the largest wait of the present slice
   * @param previousMaxNanos the largest wait of the slice before it
   * @param delayed whether the last wait was long
   * @param delayedSinceNanos since when all waits have been long
   * @param recordedNanos when the last wait was recorded
   */
  private record State(
      long sliceNanos,
      long maxNanos,
      long previousMaxNanos,
      boolean delayed,
      long delayedSinceNanos,
      long recordedNanos) {

    static State first(long nowNanos, long waitNanos) {
      boolean delayed = waitNanos >= DELAYED_NANOS;
      return new State(nowNanos, waitNanos, 0, delayed, nowNanos, nowNanos);
    }

    State next(long nowNanos, long waitNanos) {
      boolean nowDelayed = waitNanos >= DELAYED_NANOS;
      boolean idleBetween = nowNanos - waitNanos - recordedNanos > IDLE_NANOS;
      long since = delayed && nowDelayed && !idleBetween ? delayedSinceNanos : nowNanos;
      long sliceAge = nowNanos - sliceNanos;
      if (sliceAge < SLICE_NANOS) {
        long max = Math.max(maxNanos, waitNanos);
        return new State(sliceNanos, max, previousMaxNanos, nowDelayed, since, nowNanos);
      }
      long previous = sliceAge < 2 * SLICE_NANOS ? maxNanos : 0;
      return new State(nowNanos, waitNanos, previous, nowDelayed, since, nowNanos);
    }
  }

  /**
   * Records a request that is handled.
   *
   * @param waitNanos the time since it was read completely, in nanoseconds
   */
  public void record(long nowNanos, long waitNanos) {
    state.updateAndGet(
        s ->
            s == null || nowNanos - s.recordedNanos() >= EXPIRY_NANOS
                ? State.first(nowNanos, waitNanos)
                : s.next(nowNanos, waitNanos));
  }

  /** Returns the present delay in an event loop, in nanoseconds; 0 if nothing is known. */
  public long delayNanos(long nowNanos) {
    State s = state.get();
    return isCurrent(s, nowNanos) ? Math.max(s.maxNanos(), s.previousMaxNanos()) : 0;
  }

  /** Returns the age of the last recorded wait, in nanoseconds; 0 if there is none. */
  public long ageNanos(long nowNanos) {
    State s = state.get();
    return s == null ? 0 : nowNanos - s.recordedNanos();
  }

  /** Returns whether all requests have waited long for some time. */
  public boolean isOverloaded(long nowNanos) {
    State s = state.get();
    return isCurrent(s, nowNanos)
        && s.delayed()
        && nowNanos - s.delayedSinceNanos() >= PERSISTENT_NANOS;
  }

  private static boolean isCurrent(State s, long nowNanos) {
    return s != null && nowNanos - s.recordedNanos() < EXPIRY_NANOS;
  }
}
