package org.gentianslip.core.fleet;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Numbers the changes of a view, so that a peer can be sent only those it has not seen yet.
 *
 * <p>Thread-safe.
 */
public final class ChangeCounter {

  private final AtomicLong last = new AtomicLong();

  /** Returns the number of the next change, which is greater than all before it. */
  public long next() {
    return last.incrementAndGet();
  }

  /** Returns the number of the last change, or 0 if there was none. */
  public long last() {
    return last.get();
  }
}
