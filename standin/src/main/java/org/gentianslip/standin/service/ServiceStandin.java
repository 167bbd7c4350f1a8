package org.gentianslip.standin.service;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.standin.http.HttpEndpoint;

/**
 * A stand-in for a plain service that executes calls of any path.
 *
 * <p>It executes a call every time that it receives it, and records each execution before it
 * responds. Safe for use by several threads.
 */
public final class ServiceStandin implements AutoCloseable {

  private static final FluentLogger log = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NOT_LEAVING = Long.MIN_VALUE;

  private final ServiceOptions options;
  private final ExecutionLog executions = new ExecutionLog();
  private final AtomicReference<ServiceFault> fault = new AtomicReference<>(ServiceFault.NONE);
  private final AtomicLong seen = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong seenWhileLeaving = new AtomicLong();
  private final AtomicLong lastSeenWhileLeavingMillis = new AtomicLong(-1);
  private final HttpEndpoint endpoint;
  private volatile long leavingSinceNanos = NOT_LEAVING;

  private ServiceStandin(ServiceOptions options) {
    this.options = options;
    this.endpoint = HttpEndpoint.start(options.port(), new ServiceHandler(this, options));
  }

  /**
   * Starts a service.
   *
   * @throws IllegalStateException if the port cannot be opened
   */
  public static ServiceStandin start(ServiceOptions options) {
    return new ServiceStandin(Objects.requireNonNull(options, "options"));
  }

  /** Returns the port that the service listens on. */
  public int port() {
    return endpoint.port();
  }

  /** Sets whether the service refuses new calls; accepted ones continue. */
  public void setLeaving(boolean leaving) {
    leavingSinceNanos = leaving ? System.nanoTime() : NOT_LEAVING;
    log.atInfo().log("service: %s set to %s.", options.id(), leaving ? "leaving" : "live");
  }

  /** Sets the fault of the next calls. */
  public void setFault(ServiceFault next) {
    fault.set(Objects.requireNonNull(next, "next"));
  }

  /** Returns all executions since the start, in order. */
  public List<RecordedExecution> executions() {
    return executions.all();
  }

  /** Returns the counters since the start. */
  public ServiceStats stats() {
    return new ServiceStats(
        seen.get(),
        executions.all().size(),
        refused.get(),
        seenWhileLeaving.get(),
        lastSeenWhileLeavingMillis.get());
  }

  @Override
  public void close() {
    endpoint.close();
  }

  /** Counts a call and returns whether it may start. */
  boolean admit(long nowNanos) {
    seen.incrementAndGet();
    long currentLeavingSinceNanos = leavingSinceNanos;
    if (currentLeavingSinceNanos == NOT_LEAVING) {
      return true;
    }
    seenWhileLeaving.incrementAndGet();
    lastSeenWhileLeavingMillis.set((nowNanos - currentLeavingSinceNanos) / NANOS_PER_MILLI);
    return false;
  }

  void countRefused() {
    refused.incrementAndGet();
  }

  ServiceFault consumeFault() {
    return fault.getAndUpdate(ServiceFault::remainingAfterCall);
  }

  ExecutionLog log() {
    return executions;
  }
}
