package org.gentianslip.entry.model;

import java.util.concurrent.TimeUnit;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.OutcomeName;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.process.InFlightCounter;
import org.gentianslip.entry.relay.StreamRelay;
import org.gentianslip.entry.state.FleetState;

/**
 * Reports the progress of model requests to the metrics, the decision log and the in-flight count.
 *
 * <p>Safe for use by several threads.
 */
final class ModelRequestReporter {

  private final FleetState state;
  private final EntryMetrics metrics;
  private final DecisionLog decisions;
  private final InFlightCounter inFlight;

  ModelRequestReporter(
      FleetState state, EntryMetrics metrics, DecisionLog decisions, InFlightCounter inFlight) {
    this.state = state;
    this.metrics = metrics;
    this.decisions = decisions;
    this.inFlight = inFlight;
  }

  void admitted() {
    inFlight.increment();
  }

  void step(long nowNanos, ModelExchange exchange, String step, String target, String reason) {
    long atMillis =
        TimeUnit.NANOSECONDS.toMillis(nowNanos - exchange.routingRequest().arrivedNanos());
    decisions.add(exchange.id(), new DecisionLog.Step(atMillis, step, target, reason));
  }

  void forwarded(long nowNanos, ModelExchange exchange, RoutingDecision.ToRegion decision) {
    metrics.forwarded(exchange.routingRequest().rank(), decision.region().value());
    step(nowNanos, exchange, "to-region", decision.region().value(), decision.reason().name());
  }

  /**
   * Records the time to the first token; a forwarded request is measured by the instance that the
   * caller reached.
   */
  void firstToken(long nowNanos, ModelExchange exchange) {
    if (exchange.routingRequest().forwarded()) {
      return;
    }
    metrics.firstToken(
        exchange.routingRequest().rank(),
        state.config().region().value(),
        nowNanos - exchange.routingRequest().arrivedNanos());
  }

  void tokenGap(ModelExchange exchange, long nanos) {
    if (exchange.routingRequest().forwarded()) {
      return;
    }
    metrics.tokenGap(exchange.routingRequest().rank(), nanos);
  }

  void failed(long nowNanos, ModelExchange exchange, ErrorReply reply) {
    metrics.recordRefusal(exchange.routingRequest().rank(), reply.code().text());
    step(nowNanos, exchange, "failed", reply.code().text(), reply.outcome().text());
    ended(exchange, reply.outcome().text());
  }

  void streamed(long nowNanos, ModelExchange exchange, StreamRelay.End end) {
    step(nowNanos, exchange, "streamed", "", end.name());
    OutcomeName outcome =
        end == StreamRelay.End.WHOLE ? OutcomeName.COMPLETED : OutcomeName.UNKNOWN;
    ended(exchange, outcome.text());
  }

  void answered(long nowNanos, ModelExchange exchange, String outcome) {
    step(nowNanos, exchange, "answered", "", outcome);
    ended(exchange, outcome);
  }

  private void ended(ModelExchange exchange, String outcome) {
    inFlight.decrement();
    if (!exchange.routingRequest().forwarded()) {
      metrics.recordOutcome(
          exchange.routingRequest().rank(),
          exchange.routingRequest().kind().value(),
          state.config().region().value(),
          exchange.routingRequest().customer().value(),
          outcome);
    }
  }
}
