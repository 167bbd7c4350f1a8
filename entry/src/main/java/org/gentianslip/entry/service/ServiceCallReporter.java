package org.gentianslip.entry.service;

import java.util.concurrent.TimeUnit;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.process.InFlightCounter;

/**
 * Reports the progress of service calls to the metrics, the decision log and the in-flight count.
 *
 * <p>Safe for use by several threads.
 */
public final class ServiceCallReporter {

  private final String region;
  private final EntryMetrics metrics;
  private final DecisionLog decisions;
  private final InFlightCounter inFlight;

  /** Creates a reporter for an instance of the region. */
  public ServiceCallReporter(
      String region, EntryMetrics metrics, DecisionLog decisions, InFlightCounter inFlight) {
    this.region = region;
    this.metrics = metrics;
    this.decisions = decisions;
    this.inFlight = inFlight;
  }

  void admitted() {
    inFlight.increment();
  }

  void step(long sinceNanos, ServiceCall call, String step, String target, String reason) {
    long atMillis = TimeUnit.NANOSECONDS.toMillis(sinceNanos);
    decisions.add(call.id(), new DecisionLog.Step(atMillis, step, target, reason));
  }

  /**
   * Records the failure of a call. A call that was only answered with a ticket is not counted as
   * failed, because the caller repeats it with that ticket.
   */
  void failed(ServiceCall call, ErrorReply reply) {
    if (reply.code() == ErrorCode.TICKET_REQUIRED) {
      inFlight.decrement();
      return;
    }
    metrics.recordRefusal(call.settings().rank(), reply.code().text());
    ended(call, reply.outcome().text());
  }

  void ended(ServiceCall call, String outcome) {
    inFlight.decrement();
    if (!call.forwarded()) {
      metrics.recordOutcome(
          call.settings().rank(),
          call.settings().kind().value(),
          region,
          call.settings().customer().value(),
          outcome);
    }
  }
}
