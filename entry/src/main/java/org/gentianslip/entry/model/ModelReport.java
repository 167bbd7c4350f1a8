package org.gentianslip.entry.model;

import java.util.concurrent.TimeUnit;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.entry.explain.DecisionLog;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.OutcomeName;
import org.gentianslip.entry.metrics.EntryMetrics;
import org.gentianslip.entry.process.InFlight;
import org.gentianslip.entry.relay.StreamRelay;
import org.gentianslip.entry.state.FleetState;

/**
 * Reports what happens to model requests to metrics, the decision log and the in-flight count.
 *
 * <p>Safe for use by several threads.
 */
final class ModelReport {

  private final FleetState state;
  private final EntryMetrics metrics;
  private final DecisionLog decisions;
  private final InFlight inFlight;

  ModelReport(FleetState state, EntryMetrics metrics, DecisionLog decisions, InFlight inFlight) {
    this.state = state;
    this.metrics = metrics;
    this.decisions = decisions;
    this.inFlight = inFlight;
  }

  void admitted() {
    inFlight.begin();
  }

  void step(long nowNanos, ModelExchange exchange, String step, String target, String reason) {
    long at = TimeUnit.NANOSECONDS.toMillis(nowNanos - exchange.route().arrivedNanos());
    decisions.add(exchange.id(), new DecisionLog.Step(at, step, target, reason));
  }

  void forwarded(long nowNanos, ModelExchange exchange, RoutingDecision.ToRegion to) {
    metrics.forwarded(exchange.route().rank(), to.region().value());
    step(nowNanos, exchange, "to-region", to.region().value(), to.reason().name());
  }

  /** Takes a first token; that of a forwarded request is counted where the request came in. */
  void firstToken(long nowNanos, ModelExchange exchange) {
    if (exchange.route().forwarded()) {
      return;
    }
    metrics.firstToken(
        exchange.route().rank(),
        state.place().region().value(),
        nowNanos - exchange.route().arrivedNanos());
  }

  void tokenGap(ModelExchange exchange, long nanos) {
    if (exchange.route().forwarded()) {
      return;
    }
    metrics.tokenGap(exchange.route().rank(), nanos);
  }

  void failed(long nowNanos, ModelExchange exchange, ErrorReply reply) {
    metrics.refused(exchange.route().rank(), reply.code().text());
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
    inFlight.end();
    if (!exchange.route().forwarded()) {
      metrics.ended(
          exchange.route().rank(),
          exchange.route().kind().value(),
          state.place().region().value(),
          exchange.route().customer().value(),
          outcome);
    }
  }
}
