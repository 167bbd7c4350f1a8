package org.gentianslip.load.run;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.gentianslip.load.call.CallResult;
import org.gentianslip.load.call.EntryCaller;
import org.gentianslip.load.report.LoadReport;
import org.gentianslip.load.report.ResultRecorder;
import org.gentianslip.load.work.CallGenerator;
import org.gentianslip.load.work.CallSpec;

/**
 * Sends calls as an open-loop Poisson process: arrivals do not wait for earlier calls to end.
 *
 * <p>Latencies are measured from the time at which a call was due, not from when it was sent, so
 * that they include the delay of a call that is sent late. Use an instance once; call {@link #run}
 * from one thread. The {@link #recorder} can be read from any thread.
 */
public final class LoadRun {

  private static final int CALLER_STACK_BYTES = 256 * 1024;
  private static final TimeUnit NANOS = TimeUnit.NANOSECONDS;

  private final LoadPlan plan;
  private final LongSupplier clock;
  private final Consumer<CallResult> listener;
  private final ResultRecorder recorder = new ResultRecorder();
  private final Semaphore inFlightPermits;

  /**
   * Creates a run.
   *
   * @param clock the monotonic clock, in nanoseconds
   * @param listener receives the result of every call, from several threads
   */
  public LoadRun(LoadPlan plan, LongSupplier clock, Consumer<CallResult> listener) {
    this.plan = plan;
    this.clock = clock;
    this.listener = listener;
    this.inFlightPermits = new Semaphore(plan.concurrencyLimit());
  }

  /** Returns the recorder of results, also while the run is in progress. */
  public ResultRecorder recorder() {
    return recorder;
  }

  /**
   * Sends all calls, waits for them to end and returns the report.
   *
   * @throws InterruptedException if the thread is interrupted, which cancels the calls in flight
   */
  public LoadReport run() throws InterruptedException {
    AtomicInteger threads = new AtomicInteger();
    ExecutorService pool =
        Executors.newCachedThreadPool(
            task -> {
              String name = "caller-" + threads.incrementAndGet();
              Thread thread = new Thread(null, task, name, CALLER_STACK_BYTES);
              thread.setDaemon(true);
              return thread;
            });
    try {
      sendAll(pool);
      pool.shutdown();
      pool.awaitTermination(EntryCaller.maxCallDuration(plan.callTimeout()).toNanos(), NANOS);
      return recorder.report();
    } finally {
      pool.shutdownNow();
    }
  }

  private void sendAll(ExecutorService pool) throws InterruptedException {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed());
    PoissonArrivals arrivals = new PoissonArrivals(random, plan.ratePerSecond());
    long startNanos = clock.getAsLong();
    String idPrefix = "load-" + Long.toHexString(System.currentTimeMillis()) + "-" + plan.seed();
    CallGenerator generator = new CallGenerator(plan.workload(), random, idPrefix);
    EntryCaller caller = new EntryCaller(plan.callTimeout(), clock);
    long endNanos = startNanos + plan.duration().toNanos();
    for (long dueNanos = startNanos + arrivals.nextNanos();
        dueNanos < endNanos;
        dueNanos = startNanos + arrivals.nextNanos()) {
      sleepUntil(dueNanos);
      startCall(pool, caller, generator.next(), pickGroup(random), dueNanos);
    }
  }

  private CallerGroup pickGroup(UniformRandomProvider random) {
    double totalWeight = plan.groups().stream().mapToDouble(CallerGroup::weight).sum();
    double remaining = random.nextDouble() * totalWeight;
    for (CallerGroup group : plan.groups()) {
      remaining -= group.weight();
      if (remaining < 0) {
        return group;
      }
    }
    return plan.groups().get(plan.groups().size() - 1);
  }

  private void startCall(
      ExecutorService pool, EntryCaller caller, CallSpec spec, CallerGroup group, long dueNanos) {
    if (!inFlightPermits.tryAcquire()) {
      recorder.recordHeldBack();
      return;
    }
    recorder.recordSent(spec.share().rank(), group.region());
    pool.execute(
        () -> {
          try {
            CallResult result = caller.call(spec, group.region(), group.finder(), dueNanos);
            recorder.recordResult(result);
            listener.accept(result);
          } finally {
            inFlightPermits.release();
          }
        });
  }

  private void sleepUntil(long dueNanos) throws InterruptedException {
    for (long remainingNanos = dueNanos - clock.getAsLong();
        remainingNanos > 0;
        remainingNanos = dueNanos - clock.getAsLong()) {
      if (Thread.interrupted()) {
        throw new InterruptedException("the load run was interrupted");
      }
      LockSupport.parkNanos(remainingNanos);
    }
  }
}
