package org.gentianslip.bench.time;

import java.util.PriorityQueue;

/**
 * A discrete-event loop, which runs actions in the order of virtual time.
 *
 * <p>Actions with the same time run in the order in which they were scheduled. Virtual time never
 * decreases. Not thread-safe.
 */
public final class EventLoop {

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long sequence;

  /** Returns the current virtual time, in nanoseconds from the start of the simulation. */
  public long nowNanos() {
    return nowNanos;
  }

  /**
   * Schedules an action at a time, in nanoseconds from the start of the simulation; a time in the
   * past is replaced by the current time.
   */
  public void at(long timeNanos, Runnable action) {
    events.add(new Event(Math.max(timeNanos, nowNanos), sequence++, action));
  }

  /** Schedules an action after a delay, in nanoseconds. */
  public void after(long delayNanos, Runnable action) {
    at(nowNanos + delayNanos, action);
  }

  /** Schedules an action with a period, in nanoseconds; the first run is one period from now. */
  public void every(long periodNanos, Runnable action) {
    after(
        periodNanos,
        () -> {
          action.run();
          every(periodNanos, action);
        });
  }

  /**
   * Runs all actions up to and including a time, in nanoseconds from the start of the simulation.
   */
  public void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().timeNanos <= endNanos) {
      Event event = events.poll();
      nowNanos = event.timeNanos;
      event.action.run();
    }
    nowNanos = endNanos;
  }

  private record Event(long timeNanos, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
