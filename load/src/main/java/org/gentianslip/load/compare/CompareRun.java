package org.gentianslip.load.compare;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.load.call.AnswerTiming;
import org.gentianslip.load.call.EntryCaller;
import org.gentianslip.load.call.Reply;
import org.gentianslip.load.report.LatencySummary;
import org.gentianslip.load.work.CallSpec;
import org.gentianslip.load.work.WorkloadShare;

/**
 * Measures calls sent directly to an engine against calls sent through an entry instance.
 *
 * <p>Streams use both paths at the same time, and brief calls use them in alternating slices, so
 * that a change in the load of the machine affects both paths alike. The first tenth of the streams
 * measurement and the first slice of brief calls on each path are warm-up and are not counted. Use
 * an instance once, from one thread.
 */
public final class CompareRun {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);
  private static final int WARM_UP_DIVISOR = 10;
  private static final double NANOS_PER_SECOND = 1e9;

  private final ComparePlan plan;
  private final LongSupplier clock;
  private final EntryCaller caller;
  private final PathStatistics direct;
  private final PathStatistics through;
  private final LongAdder failures = new LongAdder();

  /**
   * Creates a run.
   *
   * @param clock the monotonic clock, in nanoseconds
   */
  public CompareRun(ComparePlan plan, LongSupplier clock) {
    this.plan = plan;
    this.clock = clock;
    this.caller = new EntryCaller(CALL_TIMEOUT, clock);
    this.direct = new PathStatistics("direct", plan.direct());
    this.through = new PathStatistics("through", plan.through());
  }

  /**
   * Runs both measurements and returns their results.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public CompareReport run() throws InterruptedException {
    measureStreams();
    measureBriefCalls();
    return new CompareReport(
        LatencySummary.of(direct.firstToken),
        LatencySummary.of(through.firstToken),
        LatencySummary.of(direct.wholeAnswer),
        LatencySummary.of(through.wholeAnswer),
        direct.briefCallsPerSecond(),
        through.briefCallsPerSecond(),
        failures.sum());
  }

  private void measureStreams() throws InterruptedException {
    long startNanos = clock.getAsLong();
    long measureFromNanos = startNanos + plan.phase().toNanos() / WARM_UP_DIVISOR;
    long endNanos = startNanos + plan.phase().toNanos();
    ExecutorService pool = Executors.newFixedThreadPool(2 * plan.streams());
    for (int i = 0; i < plan.streams(); i++) {
      pool.execute(() -> streamUntil(direct, measureFromNanos, endNanos));
      pool.execute(() -> streamUntil(through, measureFromNanos, endNanos));
    }
    awaitEnd(pool);
  }

  private void streamUntil(PathStatistics path, long measureFromNanos, long endNanos) {
    for (long sentNanos = clock.getAsLong(); sentNanos < endNanos; sentNanos = clock.getAsLong()) {
      AnswerTiming timing = call(path, plan.stream());
      if (timing != null && sentNanos >= measureFromNanos) {
        path.firstToken.recordValue(toMicros(timing.firstNanos() - sentNanos));
        path.wholeAnswer.recordValue(toMicros(timing.lastNanos() - sentNanos));
      }
    }
  }

  private void measureBriefCalls() throws InterruptedException {
    long endNanos = clock.getAsLong() + plan.phase().toNanos();
    boolean warmedUp = false;
    while (clock.getAsLong() < endNanos) {
      measureSlice(direct, warmedUp);
      measureSlice(through, warmedUp);
      warmedUp = true;
    }
  }

  private void measureSlice(PathStatistics path, boolean counted) throws InterruptedException {
    LongAdder calls = new LongAdder();
    long startNanos = clock.getAsLong();
    long endNanos = startNanos + plan.slice().toNanos();
    ExecutorService pool = Executors.newFixedThreadPool(plan.briefCallers());
    for (int i = 0; i < plan.briefCallers(); i++) {
      pool.execute(
          () -> {
            while (clock.getAsLong() < endNanos) {
              if (call(path, plan.brief()) != null) {
                calls.increment();
              }
            }
          });
    }
    awaitEnd(pool);
    if (counted) {
      path.briefCalls += calls.sum();
      path.briefNanos += clock.getAsLong() - startNanos;
    }
  }

  /** Returns the timing of the answer, or null if it is not the complete answer to the call. */
  private AnswerTiming call(PathStatistics path, WorkloadShare share) {
    String id = path.name + "-" + path.nextCallNumber();
    CallSpec spec = new CallSpec(RequestId.of(id), share, "compare " + id);
    Reply reply = caller.exchange(path.address, spec);
    if (reply instanceof Reply.Answered answered
        && EntryCaller.isExpectedAnswer(spec, answered.text())) {
      return answered.timing();
    }
    failures.increment();
    return null;
  }

  private static void awaitEnd(ExecutorService pool) throws InterruptedException {
    pool.shutdown();
    pool.awaitTermination(2 * CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private static long toMicros(long nanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** The measurements of one path. Only the histograms and the counter of calls are thread-safe. */
  private static final class PathStatistics {
    private final String name;
    private final String address;
    private final ConcurrentHistogram firstToken = new ConcurrentHistogram(3);
    private final ConcurrentHistogram wholeAnswer = new ConcurrentHistogram(3);
    private final AtomicLong calls = new AtomicLong();
    private long briefCalls;
    private long briefNanos;

    PathStatistics(String name, String address) {
      this.name = name;
      this.address = address;
    }

    long nextCallNumber() {
      return calls.incrementAndGet();
    }

    double briefCallsPerSecond() {
      return briefNanos == 0 ? 0 : briefCalls * NANOS_PER_SECOND / briefNanos;
    }
  }
}
