package org.gentianslip.core.published;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.time.ClockReading;

/**
 * Instances with unreliable clocks that learn from a store and from each other that a key was
 * removed, in virtual time.
 *
 * <p>The version in which the key is removed is {@value #REMOVED}. Every read and message may take
 * any time, and an instance may freeze at any step.
 */
final class RevocationSimulation {

  static final RevocationRule RULE = new RevocationRule(true, 5_000);
  private static final long REMOVED = 2;
  private static final int INSTANCES = 4;

  private final SplittableRandom random;
  private final boolean suspends;
  private final Instance[] instances = new Instance[INSTANCES];
  private long nowMillis = 100_000;
  private long removedMillis = Long.MAX_VALUE;
  private long accepted;
  private long lateMillis = Long.MIN_VALUE;

  /** A read of the store or a message, and what was known when it began. */
  private record Call(ClockReading begun, int peer) {}

  /** The answer of another instance. */
  private record Answer(ClockReading begun, long version, long ageMillis) {}

  /** A request that was read but not decided yet, as the process may freeze in between. */
  private record Arrival(long sentMillis, ClockReading read, Optional<Confirmation> confirmation) {}

  private static final class Instance {
    private final ConfigurationKnowledge knowledge = new ConfigurationKnowledge();
    private final Deque<Answer> answers = new ArrayDeque<>();
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private long version;
    private long suspendedMillis;
    private long steppedMillis;
    private Optional<Call> storeCall = Optional.empty();
    private Optional<Long> storeAnswer = Optional.empty();
  }

  RevocationSimulation(long seed) {
    random = new SplittableRandom(seed);
    suspends = random.nextBoolean();
    for (int i = 0; i < INSTANCES; i++) {
      instances[i] = new Instance();
      instances[i].steppedMillis = random.nextLong(1_000_000);
    }
  }

  /** Returns the requests that were accepted. */
  long accepted() {
    return accepted;
  }

  /** Returns how long after the removal an accepted request was sent at most. */
  long lateMillis() {
    return lateMillis;
  }

  void run(int steps) {
    for (int i = 0; i < steps; i++) {
      nowMillis += random.nextInt(40) == 0 ? random.nextLong(4_000) : random.nextLong(25);
      step(instances[random.nextInt(INSTANCES)]);
    }
  }

  private ClockReading clocks(Instance instance) {
    return new ClockReading(
        TimeUnit.MILLISECONDS.toNanos(nowMillis - instance.suspendedMillis),
        nowMillis + instance.steppedMillis);
  }

  private long storeVersion() {
    return nowMillis >= removedMillis ? REMOVED : REMOVED - 1;
  }

  private void step(Instance self) {
    switch (random.nextInt(12)) {
      case 0 -> beginRead(self);
      case 1, 2 -> endRead(self);
      case 3, 4 -> ask(self, instances[random.nextInt(INSTANCES)]);
      case 5, 6 -> applyAnswer(self);
      case 7, 8 -> arrive(self);
      case 9, 10 -> decide(self);
      default -> disturb(self);
    }
  }

  private void beginRead(Instance self) {
    self.storeCall = Optional.of(new Call(clocks(self), -1));
    self.storeAnswer = Optional.of(storeVersion());
  }

  /** Ends a read, which has seen any state from its begin on, or was cut off. */
  private void endRead(Instance self) {
    if (self.storeCall.isPresent() && random.nextInt(3) > 0) {
      self.version = Math.max(self.version, self.storeAnswer.orElseThrow());
      self.knowledge.confirm(
          new Confirmation(self.version, self.storeCall.get().begun(), false), clocks(self));
    }
    self.storeCall = Optional.empty();
  }

  private void ask(Instance self, Instance peer) {
    ClockReading begun = clocks(self);
    peer.knowledge
        .ageMillis(clocks(peer))
        .ifPresent(age -> self.answers.add(new Answer(begun, peer.version, age)));
  }

  private void applyAnswer(Instance self) {
    Answer answer = self.answers.poll();
    if (answer == null) {
      return;
    }
    self.knowledge.applyResponse(
        self.version, answer.version(), answer.ageMillis(), answer.begun(), clocks(self));
    if (random.nextBoolean()) {
      self.version = Math.max(self.version, answer.version());
    }
  }

  private void arrive(Instance self) {
    long sentMillis = nowMillis - random.nextLong(300);
    self.arrivals.add(new Arrival(sentMillis, clocks(self), self.knowledge.confirmation()));
  }

  private void decide(Instance self) {
    Arrival arrival = self.arrivals.poll();
    if (arrival == null || self.version == 0 || self.version >= REMOVED) {
      return;
    }
    if (RULE.mayAccept(arrival.confirmation(), arrival.read())) {
      accepted++;
      if (removedMillis != Long.MAX_VALUE) {
        lateMillis = Math.max(lateMillis, arrival.sentMillis() - removedMillis);
      }
    }
  }

  /** Removes the key, suspends a machine or steps its wall clock. */
  private void disturb(Instance self) {
    if (random.nextInt(4) > 0) {
      return;
    }
    if (removedMillis == Long.MAX_VALUE && random.nextInt(3) == 0) {
      removedMillis = nowMillis;
    } else if (suspends) {
      // No clock but the wall clock counts this time, so that it must not step back in the same
      // run.
      long millis = random.nextLong(12_000);
      self.suspendedMillis += millis;
      nowMillis += millis;
      self.steppedMillis += random.nextLong(3_000);
    } else {
      self.steppedMillis += random.nextLong(-8_000, 8_000);
    }
  }
}
