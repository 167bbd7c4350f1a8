package org.gentianslip.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Schedules requests into the slots of a batch, with a bounded queue.
 *
 * <p>At most {@code slots} requests run and at most {@code queueLength} wait; a request waits only
 * while all slots are occupied. Safe for use by several threads.
 */
final class BatchScheduler {

  private final int slots;
  private final int queueLength;
  private final TreeSet<Generation> waiting = new TreeSet<>(Generation.ORDER);
  private int running;

  BatchScheduler(int slots, int queueLength) {
    this.slots = slots;
    this.queueLength = queueLength;
  }

  /** Enqueues a request and returns whether there was capacity for it. */
  synchronized boolean offer(Generation generation) {
    if (running >= slots && waiting.size() >= queueLength) {
      return false;
    }
    waiting.add(generation);
    return true;
  }

  /** Moves waiting requests into free slots and returns the moved ones. */
  synchronized List<Generation> startWaiting() {
    var started = new ArrayList<Generation>();
    while (running < slots && !waiting.isEmpty()) {
      var next = waiting.pollFirst();
      next.state = Generation.State.RUNNING;
      running++;
      started.add(next);
    }
    return started;
  }

  /** Ends a request and returns whether it was waiting or running until now. */
  synchronized boolean end(Generation generation) {
    var previousState = generation.state;
    generation.state = Generation.State.ENDED;
    if (previousState == Generation.State.RUNNING) {
      running--;
    } else if (previousState == Generation.State.WAITING) {
      waiting.remove(generation);
    }
    return previousState != Generation.State.ENDED;
  }

  synchronized boolean isRunning(Generation generation) {
    return generation.state == Generation.State.RUNNING;
  }

  synchronized int running() {
    return running;
  }

  synchronized int waiting() {
    return waiting.size();
  }
}
