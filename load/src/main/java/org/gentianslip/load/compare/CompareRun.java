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
import org.gentianslip.load.call.EntryCaller;
import org.gentianslip.load.call.Reply;
import org.gentianslip.load.call.Timing;
import org.gentianslip.load.report.Latency;
import org.gentianslip.load.work.CallSpec;
import org.gentianslip.load.work.WorkShare;

/**
 * Calls an engine directly and through an entry instance in turn.
 *
 * <p>Streams go both ways at the same time, brief calls in alternating slices, so that a change of
 * the machine's load meets both. The first tenth of each measurement is left out. Used once, by one
 * thread.
 */
public final class CompareRun {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);
  private static final int WARM_UP_PART = 10;
  private static final double NANOS_PER_SECOND = 1e9;

  private final ComparePlan plan;
  private final LongSupplier clock;
  private final EntryCaller caller;
  private final Path direct;
  private final Path through;
  private final LongAdder failures = new LongAdder();

  /**
   * Makes a run.
   *
   * @param clock the monotonic clock, in nanoseconds
   */
  public CompareRun(ComparePlan plan, LongSupplier clock) {
    this.plan = plan;
    this.clock = clock;
    this.caller = new EntryCaller(CALL_TIMEOUT, clock);
    this.direct = new Path("direct", plan.direct());
    this.through = new Path("through", plan.through());
  }

  /**
   * Measures and returns the figures.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public CompareReport run() throws InterruptedException {
    measureStreams();
    measureBriefCalls();
    return new CompareReport(
        Latency.of(direct.first),
        Latency.of(through.first),
        Latency.of(direct.whole),
        Latency.of(through.whole),
        direct.perSecond(),
        through.perSecond(),
        failures.sum());
  }

  private void measureStreams() throws InterruptedException {
    long startNanos = clock.getAsLong();
    long fromNanos = startNanos + plan.phase().toNanos() / WARM_UP_PART;
    long endNanos = startNanos + plan.phase().toNanos();
    ExecutorService pool = Executors.newFixedThreadPool(2 * plan.streams());
    for (int i = 0; i < plan.streams(); i++) {
      pool.execute(() -> streamUntil(direct, fromNanos, endNanos));
      pool.execute(() -> streamUntil(through, fromNanos, endNanos));
    }
    awaitEnd(pool);
  }

  private void streamUntil(Path path, long fromNanos, long endNanos) {
    for (long now = clock.getAsLong(); now < endNanos; now = clock.getAsLong()) {
      Timing timing = call(path, plan.stream());
      if (timing != null && now >= fromNanos) {
        path.first.recordValue(micros(timing.firstNanos() - now));
        path.whole.recordValue(micros(timing.lastNanos() - now));
      }
    }
  }

  private void measureBriefCalls() throws InterruptedException {
    long endNanos = clock.getAsLong() + plan.phase().toNanos();
    boolean warm = false;
    while (clock.getAsLong() < endNanos) {
      measureSlice(direct, warm);
      measureSlice(through, warm);
      warm = true;
    }
  }

  private void measureSlice(Path path, boolean counts) throws InterruptedException {
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
    if (counts) {
      path.briefCalls += calls.sum();
      path.briefNanos += clock.getAsLong() - startNanos;
    }
  }

  /** Returns when the answer's parts arrived, or null if it is not whole and the call's own. */
  private Timing call(Path path, WorkShare share) {
    String id = path.name + "-" + path.count();
    CallSpec spec = new CallSpec(RequestId.of(id), share, "compare " + id);
    Reply reply = caller.exchange(path.address, spec);
    if (reply instanceof Reply.Answered answered
        && EntryCaller.isOwnAnswer(spec, answered.text())) {
      return answered.timing();
    }
    failures.increment();
    return null;
  }

  private static void awaitEnd(ExecutorService pool) throws InterruptedException {
    pool.shutdown();
    pool.awaitTermination(2 * CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private static long micros(long nanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos));
  }

  /** The figures of one way. Histograms and count are safe for use by several threads. */
  private static final class Path {
    private final String name;
    private final String address;
    private final ConcurrentHistogram first = new ConcurrentHistogram(3);
    private final ConcurrentHistogram whole = new ConcurrentHistogram(3);
    private final AtomicLong calls = new AtomicLong();
    private long briefCalls;
    private long briefNanos;

    Path(String name, String address) {
      this.name = name;
      this.address = address;
    }

    long count() {
      return calls.incrementAndGet();
    }

    double perSecond() {
      return briefNanos == 0 ? 0 : briefCalls * NANOS_PER_SECOND / briefNanos;
    }
  }
}
