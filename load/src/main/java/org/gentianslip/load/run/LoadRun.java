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
import org.gentianslip.load.report.Recorder;
import org.gentianslip.load.work.CallSpec;
import org.gentianslip.load.work.CallWriter;

/**
 * Sends calls at the times of a Poisson process, whatever becomes of earlier calls.
 *
 * <p>Latencies count from the time at which a call was due, so that a late sender does not hide a
 * slow fleet. Used once; {@link #run} is called by one thread, {@link #recorder} may be read by
 * several.
 */
public final class LoadRun {

  private static final int STACK_BYTES = 256 * 1024;
  private static final TimeUnit NANOS = TimeUnit.NANOSECONDS;

  private final LoadPlan plan;
  private final LongSupplier clock;
  private final Consumer<CallResult> listener;
  private final Recorder recorder = new Recorder();
  private final Semaphore slots;

  /**
   * Makes a run.
   *
   * @param clock the monotonic clock, in nanoseconds
   * @param listener is told of every result, by several threads
   */
  public LoadRun(LoadPlan plan, LongSupplier clock, Consumer<CallResult> listener) {
    this.plan = plan;
    this.clock = clock;
    this.listener = listener;
    this.slots = new Semaphore(plan.concurrencyLimit());
  }

  /** Returns the figures so far. */
  public Recorder recorder() {
    return recorder;
  }

  /**
   * Sends all calls, waits for their ends and returns the figures.
   *
   * @throws InterruptedException if the thread is interrupted; calls in flight are then cancelled
   */
  public LoadReport run() throws InterruptedException {
    AtomicInteger threads = new AtomicInteger();
    ExecutorService pool =
        Executors.newCachedThreadPool(
            task -> {
              String name = "caller-" + threads.incrementAndGet();
              Thread thread = new Thread(null, task, name, STACK_BYTES);
              thread.setDaemon(true);
              return thread;
            });
    try {
      send(pool);
      pool.shutdown();
      pool.awaitTermination(EntryCaller.longestCall(plan.callTimeout()).toNanos(), NANOS);
      return recorder.report();
    } finally {
      pool.shutdownNow();
    }
  }

  private void send(ExecutorService pool) throws InterruptedException {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed());
    PoissonArrivals arrivals = new PoissonArrivals(random, plan.ratePerSecond());
    long startNanos = clock.getAsLong();
    String runName = "load-" + Long.toHexString(System.currentTimeMillis()) + "-" + plan.seed();
    CallWriter writer = new CallWriter(plan.workload(), random, runName);
    EntryCaller caller = new EntryCaller(plan.callTimeout(), clock);
    long endNanos = startNanos + plan.length().toNanos();
    for (long due = startNanos + arrivals.nextNanos();
        due < endNanos;
        due = startNanos + arrivals.nextNanos()) {
      sleepUntil(due);
      start(pool, caller, writer.next(), drawGroup(random), due);
    }
  }

  private CallerGroup drawGroup(UniformRandomProvider random) {
    double total = plan.groups().stream().mapToDouble(CallerGroup::weight).sum();
    double at = random.nextDouble() * total;
    for (CallerGroup group : plan.groups()) {
      at -= group.weight();
      if (at < 0) {
        return group;
      }
    }
    return plan.groups().get(plan.groups().size() - 1);
  }

  private void start(
      ExecutorService pool, EntryCaller caller, CallSpec spec, CallerGroup group, long dueNanos) {
    if (!slots.tryAcquire()) {
      recorder.heldBack();
      return;
    }
    recorder.sent(spec.share().rank(), group.region());
    pool.execute(
        () -> {
          try {
            CallResult result = caller.call(spec, group.region(), group.finder(), dueNanos);
            recorder.ended(result);
            listener.accept(result);
          } finally {
            slots.release();
          }
        });
  }

  private void sleepUntil(long dueNanos) throws InterruptedException {
    for (long left = dueNanos - clock.getAsLong(); left > 0; left = dueNanos - clock.getAsLong()) {
      if (Thread.interrupted()) {
        throw new InterruptedException("the run was interrupted");
      }
      LockSupport.parkNanos(left);
    }
  }
}
