package org.gentianslip.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.ServiceExecution;
import org.gentianslip.load.call.CachingEntryFinder;
import org.gentianslip.load.call.CallResult;
import org.gentianslip.load.call.DirectoryBootstrapSource;
import org.gentianslip.load.call.EntryCaller;
import org.gentianslip.load.call.HttpClients;
import org.gentianslip.load.call.Reply;
import org.gentianslip.load.report.LoadReport;
import org.gentianslip.load.run.CallerGroup;
import org.gentianslip.load.run.LoadPlan;
import org.gentianslip.load.run.LoadRun;
import org.gentianslip.load.work.CallSpec;
import org.gentianslip.load.work.ExpectedAnswer;
import org.gentianslip.load.work.Workload;

/** Calls the instances of a test fleet concurrently. Thread-safe. */
final class TestCaller implements AutoCloseable {

  static final long SEED = Long.getLong("seed", 17);

  private static final int CONCURRENCY_LIMIT = 500;

  private final ExecutorService pool = Executors.newCachedThreadPool();
  private final EntryCaller caller;
  private final Duration timeout;

  TestCaller(Duration timeout) {
    this.timeout = timeout;
    this.caller = new EntryCaller(timeout, System::nanoTime);
  }

  /** Starts calls to one instance, without waiting for their replies. */
  List<CompletableFuture<Reply>> start(EntryNode entry, List<CallSpec> specs) {
    List<CompletableFuture<Reply>> replies = new ArrayList<>();
    for (CallSpec spec : specs) {
      replies.add(CompletableFuture.supplyAsync(() -> call(entry, spec), pool));
    }
    return replies;
  }

  /** Makes a call to one instance. */
  Reply call(EntryNode entry, CallSpec spec) {
    return caller.exchange(entry.callerAddress(), spec);
  }

  /** Makes a call to one instance, with a ticket or, if it is null, without one. */
  Reply call(EntryNode entry, CallSpec spec, String ticket) {
    return caller.exchange(entry.callerAddress(), spec, ticket);
  }

  /** Starts an open-loop load run for the callers of a region. */
  CompletableFuture<LoadReport> startLoad(
      Fleet fleet, String region, Workload workload, double rate, Duration length) {
    return startLoad(fleet, region, workload, rate, length, result -> {});
  }

  /** Starts an open-loop load run for the callers of a region, with a listener for its results. */
  CompletableFuture<LoadReport> startLoad(
      Fleet fleet,
      String region,
      Workload workload,
      double rate,
      Duration length,
      Consumer<CallResult> listener) {
    RegionId id = RegionId.of(region);
    DirectoryBootstrapSource bootstrap =
        new DirectoryBootstrapSource(HttpClients.forQueries(), fleet.configAddress(), id);
    CallerGroup group =
        new CallerGroup(id, new CachingEntryFinder(HttpClients.forQueries(), bootstrap), 1);
    LoadPlan plan =
        new LoadPlan(List.of(group), workload, rate, length, SEED, CONCURRENCY_LIMIT, timeout);
    LoadRun run = new LoadRun(plan, System::nanoTime, listener);
    return CompletableFuture.supplyAsync(() -> runUninterrupted(run), pool);
  }

  /** Returns whether the reply is the complete answer to the call. */
  static boolean isComplete(Reply reply, CallSpec spec) {
    return reply instanceof Reply.Answered answered
        && EntryCaller.isExpectedAnswer(spec, answered.text());
  }

  /** Returns how often the services executed a call. */
  static long executions(List<ServiceExecution> executions, CallSpec spec) {
    String digest = ExpectedAnswer.serviceDigest(spec.serviceBody());
    return executions.stream().filter(e -> e.bodyDigest().equals(digest)).count();
  }

  @Override
  public void close() {
    pool.shutdownNow();
  }

  private static LoadReport runUninterrupted(LoadRun run) {
    try {
      return run.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("the load run was interrupted", e);
    }
  }
}
