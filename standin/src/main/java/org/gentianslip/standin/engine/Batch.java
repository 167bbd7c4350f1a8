package org.gentianslip.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The running requests and the queue before them.
 *
 * <p>At most {@code slots} requests run and at most {@code queueLength} wait; a request waits only
 * while all slots are taken. Safe for use by several threads.
 */
final class Batch {

  private final int slots;
  private final int queueLength;
  private final TreeSet<Generation> waiting = new TreeSet<>(Generation.ORDER);
  private int running;

  Batch(int slots, int queueLength) {
    this.slots = slots;
    this.queueLength = queueLength;
  }

  /** Lets a request wait and returns whether there was room. */
  synchronized boolean offer(Generation generation) {
    if (running >= slots && waiting.size() >= queueLength) {
      return false;
    }
    waiting.add(generation);
    return true;
  }

  /** Moves waiting requests into free slots and returns them. */
  synchronized List<Generation> fill() {
    var started = new ArrayList<Generation>();
    while (running < slots && !waiting.isEmpty()) {
      var next = waiting.pollFirst();
      next.state = Generation.State.RUNNING;
      running++;
      started.add(next);
    }
    return started;
  }

  /** Ends a request and returns whether it had not ended before. */
  synchronized boolean end(Generation generation) {
    var before = generation.state;
    generation.state = Generation.State.ENDED;
    if (before == Generation.State.RUNNING) {
      running--;
    } else if (before == Generation.State.WAITING) {
      waiting.remove(generation);
    }
    return before != Generation.State.ENDED;
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
