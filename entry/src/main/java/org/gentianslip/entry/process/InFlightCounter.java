package org.gentianslip.entry.process;

import java.util.concurrent.atomic.AtomicInteger;
import org.gentianslip.entry.metrics.EntryMetrics;

/**
 * Counts the requests that were admitted and have not ended.
 *
 * <p>A graceful shutdown waits until the count is 0. Safe for use by several threads.
 */
public final class InFlightCounter {

  private final AtomicInteger count = new AtomicInteger();
  private final EntryMetrics metrics;

  /** Creates a counter at 0 that is exported as a metric. */
  public InFlightCounter(EntryMetrics metrics) {
    this.metrics = metrics;
  }

  /** Counts an admitted request. */
  public void increment() {
    metrics.inFlight(count.incrementAndGet());
  }

  /** Counts the end of a request. */
  public void decrement() {
    metrics.inFlight(count.decrementAndGet());
  }

  /** Returns the number of requests in flight. */
  public int count() {
    return count.get();
  }
}
