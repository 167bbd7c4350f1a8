package org.gentianslip.core.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against work that an overloaded processor takes and can't finish in time. */
@DisplayName("The admission of requests by the load of the processor")
class ProcessorAdmissionTest {

  private static final long SEED = 1;
  private static final double END_MILLIS = 20_000;
  private static final double WINDOW_MILLIS = 500;

  private final VirtualProcessor processor = new VirtualProcessor(SEED);

  private long count(Predicate<VirtualProcessor.Call> accepted) {
    return processor.calls.stream().filter(accepted).count();
  }

  /** Returns how many requests the processor can serve besides its refusals. */
  private double possible() {
    double refusals = processor.refusedAt.size() * VirtualProcessor.REFUSED_MILLIS;
    return Math.min(
        processor.calls.size(), (END_MILLIS - refusals) / VirtualProcessor.ADMITTED_MILLIS);
  }

  private static long in(List<Double> times, double fromMillis) {
    return times.stream().filter(t -> t >= fromMillis && t < fromMillis + WINDOW_MILLIS).count();
  }

  @Test
  @DisplayName("refuses nothing at half of the capacity")
  void admitsAllWithinCapacity() {
    processor.play(0, END_MILLIS, 0.5);
    assertThat(processor.refusedAt.size(), is(0));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.5, 1, 2, 4})
  @DisplayName("answers in time four fifths of what the processor allows")
  void answersInTime(double load) {
    processor.play(0, END_MILLIS, load);
    double inTime = count(c -> c.admitted && c.inTime());
    assertThat(inTime / possible(), is(greaterThanOrEqualTo(0.8)));
  }

  @ParameterizedTest
  @ValueSource(doubles = {1, 2, 4})
  @DisplayName("answers late none of a hundred that it admits")
  void answersLittleLate(double load) {
    processor.play(0, END_MILLIS, load);
    long late = count(c -> c.admitted && !c.inTime());
    assertThat(late * 100, is(lessThan((long) processor.admittedAt.size())));
  }

  @ParameterizedTest
  @ValueSource(doubles = {2, 4})
  @DisplayName("refuses some and admits some at all times, in place of all and none in turn")
  void doesNotOscillate(double load) {
    processor.play(0, END_MILLIS, load);
    double meanAdmitted = processor.admittedAt.size() * WINDOW_MILLIS / END_MILLIS;
    for (double t = 2 * WINDOW_MILLIS; t < END_MILLIS; t += WINDOW_MILLIS) {
      assertThat((double) in(processor.admittedAt, t), is(greaterThan(meanAdmitted / 2)));
      assertThat(in(processor.refusedAt, t), is(greaterThan(0L)));
    }
  }

  @ParameterizedTest
  @CsvSource({"1,0.01", "2,0.3"})
  @DisplayName("refuses other ranks first")
  void refusesOtherRanksFirst(double load, double maxUrgentShare) {
    processor.play(0, END_MILLIS, load);
    double urgent = count(c -> !c.admitted && c.urgent);
    assertThat(urgent / processor.refusedAt.size(), is(lessThan(maxUrgentShare)));
  }

  @Test
  @DisplayName("admits the first request after an idle period, though it waited long")
  void admitsTheFirstAfterIdlePeriod() {
    processor.play(0, END_MILLIS, 4);
    long later = processor.nowNanos() + ProcessorLoad.EXPIRY_NANOS;
    long waitNanos = TimeUnit.SECONDS.toNanos(2);
    processor.load.record(later, waitNanos);
    assertThat(decide(later, waitNanos, 5_000), is(instanceOf(ProcessorDecision.Admitted.class)));
  }

  @Test
  @DisplayName("admits requests that waited in one long pass")
  void admitsAfterSinglePause() {
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(800);
    for (long now = 0; now < TimeUnit.MILLISECONDS.toNanos(99); now += 1_000_000) {
      processor.load.record(now, waitNanos);
      assertThat(decide(now, waitNanos, 5_000), is(instanceOf(ProcessorDecision.Admitted.class)));
    }
  }

  @Test
  @DisplayName("refuses a request whose remaining time would be used up here")
  void refusesForRemainingTime() {
    long waitNanos = TimeUnit.MILLISECONDS.toNanos(20);
    processor.load.record(0, waitNanos);
    long now = TimeUnit.MILLISECONDS.toNanos(200);
    processor.load.record(now, waitNanos);
    assertThat(decide(now, waitNanos, 100), is(instanceOf(ProcessorDecision.Refused.class)));
    assertThat(decide(now, waitNanos, 5_000), is(instanceOf(ProcessorDecision.Admitted.class)));
  }

  private ProcessorDecision decide(long nowNanos, long waitNanos, long remainingMillis) {
    return processor.admission.decide(
        nowNanos, processor.load, waitNanos, true, 810, remainingMillis);
  }
}
