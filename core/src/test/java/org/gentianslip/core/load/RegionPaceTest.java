package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against floods of a region that is full, and against a region that stays unused. */
@DisplayName("The pace of requests to another region")
class RegionPaceTest {

  private static final int SLOTS = 40;
  private static final double WORK_MILLIS = 18;
  private static final double PER_SECOND = SLOTS * 1_000 / WORK_MILLIS;
  private static final int MAX_RUNNING = 3 * SLOTS;
  private static final double ONE_WAY_MILLIS = 56;
  private static final double RECOVERY_MILLIS = 2_000;

  /** The last moment after a recovery at which a request of an unserved instance is withheld. */
  private static final double MAX_WITHHELD_MILLIS = RECOVERY_MILLIS - 2 * ONE_WAY_MILLIS;

  private static final long MILLI = 1_000_000;

  /** Something that arrives at an instance or at the region. */
  private record Event(double millis, int instance, Kind kind) {}

  private enum Kind {
    REQUEST,
    ANSWER,
    REFUSAL
  }

  /** What the region makes of requests. */
  private enum State {
    SERVES,
    REFUSES,
    IS_CUT_OFF
  }

  private final SplittableRandom random = new SplittableRandom(7);
  private final List<RegionPace> paces = new ArrayList<>();
  private final List<Double> firstServed = new ArrayList<>();
  private final List<Double> lastWithheld = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::millis));
  private final Deque<Double> ends = new ArrayDeque<>();
  private final double[] freeAtMillis = new double[SLOTS];
  private State state = State.SERVES;
  private double nowMillis;
  private int received;
  private int served;

  private void createInstances(int count) {
    for (int i = 0; i < count; i++) {
      paces.add(new RegionPace());
      firstServed.add(Double.MAX_VALUE);
      lastWithheld.add(0.0);
    }
    paces.forEach(p -> p.setInstances(paces.size()));
  }

  /** Plays requests that reach all instances alike for some time, with counts from 0. */
  private void play(State next, double perSecond, double millis) {
    state = next;
    received = 0;
    served = 0;
    firstServed.replaceAll(f -> Double.MAX_VALUE);
    double untilMillis = nowMillis + millis;
    while (nowMillis < untilMillis) {
      nowMillis += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      while (!events.isEmpty() && events.peek().millis() <= nowMillis) {
        handle(events.poll());
      }
      int instance = random.nextInt(paces.size());
      RegionPace pace = paces.get(instance);
      if (pace.delayNanos((long) (nowMillis * MILLI)) == 0) {
        pace.recordSend((long) (nowMillis * MILLI));
        events.add(new Event(nowMillis + ONE_WAY_MILLIS, instance, Kind.REQUEST));
      } else {
        lastWithheld.set(instance, nowMillis);
      }
    }
  }

  private void handle(Event event) {
    long now = (long) (event.millis() * MILLI);
    if (event.kind() == Kind.REQUEST) {
      receive(event.millis(), event.instance());
    } else if (event.kind() == Kind.ANSWER) {
      paces.get(event.instance()).recordAnswer(now);
    } else {
      paces.get(event.instance()).recordRefusal(now);
    }
  }

  private void receive(double millis, int instance) {
    if (state == State.IS_CUT_OFF) {
      return;
    }
    received++;
    while (!ends.isEmpty() && ends.peekFirst() <= millis) {
      ends.removeFirst();
    }
    if (state == State.REFUSES || ends.size() >= MAX_RUNNING) {
      events.add(new Event(millis + ONE_WAY_MILLIS, instance, Kind.REFUSAL));
      return;
    }
    served++;
    firstServed.set(instance, Math.min(firstServed.get(instance), millis));
    int first = 0;
    for (int i = 1; i < SLOTS; i++) {
      first = freeAtMillis[i] < freeAtMillis[first] ? i : first;
    }
    freeAtMillis[first] = Math.max(millis, freeAtMillis[first]) + WORK_MILLIS;
    ends.addLast(freeAtMillis[first]);
    events.add(new Event(freeAtMillis[first] + ONE_WAY_MILLIS, instance, Kind.ANSWER));
  }

  private void assertThatEachInstanceIsServedAgain() {
    double startMillis = nowMillis;
    play(State.SERVES, PER_SECOND / 2, RECOVERY_MILLIS);
    for (int i = 0; i < paces.size(); i++) {
      boolean unused = firstServed.get(i) == Double.MAX_VALUE;
      double withheldMillis = unused ? lastWithheld.get(i) - startMillis : 0;
      assertThat(withheldMillis, is(lessThanOrEqualTo(MAX_WITHHELD_MILLIS)));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 95, 300})
  void doesNotFloodRegionsThatAreFull(int instances) {
    createInstances(instances);
    play(State.SERVES, PER_SECOND / 2, 3_000);
    play(State.SERVES, 2 * PER_SECOND, 10_000);
    assertThat((double) received / served, is(lessThanOrEqualTo(1.1)));
    assertThat(served / (10 * PER_SECOND), is(greaterThan(0.9)));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 95, 300})
  void doesNotFloodRegionsThatRefuseEverything(int instances) {
    createInstances(instances);
    play(State.REFUSES, 2 * PER_SECOND, 3_000);
    play(State.REFUSES, 2 * PER_SECOND, 10_000);
    assertThat(received / 10.0, is(lessThanOrEqualTo(0.1 * PER_SECOND)));
    assertThat(received, is(greaterThanOrEqualTo(instances)));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 95, 300})
  void letsEachInstanceUseRegionsThatRecover(int instances) {
    createInstances(instances);
    play(State.REFUSES, 2 * PER_SECOND, 10_000);
    assertThatEachInstanceIsServedAgain();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 95, 300})
  void letsEachInstanceUseRegionsThatWereCutOffWhileFull(int instances) {
    createInstances(instances);
    play(State.SERVES, 2 * PER_SECOND, 5_000);
    play(State.IS_CUT_OFF, 2 * PER_SECOND, 10_000);
    assertThatEachInstanceIsServedAgain();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 95, 300})
  void doesNotFloodRegionsThatAreFullWhileInstancesJoin(int instances) {
    createInstances(instances);
    play(State.SERVES, 2 * PER_SECOND, 5_000);
    createInstances(Math.max(1, instances / 4));
    play(State.SERVES, 2 * PER_SECOND, 10_000);
    assertThat((double) received / served, is(lessThanOrEqualTo(1.1)));
  }

  @Test
  void tellsWhenTheNextRequestMayBeSent() {
    var pace = new RegionPace();
    pace.recordSend(0);
    pace.recordRefusal(TimeUnit.MILLISECONDS.toNanos(100));
    long delay = pace.delayNanos(TimeUnit.MILLISECONDS.toNanos(110));
    assertThat(delay, is(greaterThan(0L)));
    assertThat(pace.delayNanos(TimeUnit.MILLISECONDS.toNanos(110) + delay - 1), is(1L));
    assertThat(pace.delayNanos(TimeUnit.MILLISECONDS.toNanos(110) + delay), is(0L));
  }
}
