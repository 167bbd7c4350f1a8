package org.gentianslip.entry.gateway;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the requests that were read completely and whose responses are not written completely.
 *
 * <p>A response counts as written once the operating system has taken its last byte. A request of a
 * caller who disconnected does not count any more. Safe for use by several threads.
 */
final class UnansweredRequests {

  private final AtomicInteger count = new AtomicInteger();

  /** Counts a request that was read. */
  void add() {
    count.incrementAndGet();
  }

  /** Counts the end of a request; called once for each request. */
  void remove() {
    count.decrementAndGet();
  }

  /** Returns the number of requests without a written response. */
  int count() {
    return count.get();
  }
}
