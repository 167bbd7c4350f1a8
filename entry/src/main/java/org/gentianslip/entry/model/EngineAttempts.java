package org.gentianslip.entry.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.outcome.NotRunReason;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.relay.UpstreamRequest;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.state.EngineState;
import org.gentianslip.entry.state.FleetState;

/** Sends model requests to the engines of the local region. Safe for use by several threads. */
final class EngineAttempts {

  private static final int URGENT_PRIORITY = 10;

  private final FleetState state;
  private final UpstreamClient client;
  private final ModelRequestReporter reporter;
  private final AttemptListener listener;

  EngineAttempts(
      FleetState state,
      UpstreamClient client,
      ModelRequestReporter reporter,
      AttemptListener listener) {
    this.state = state;
    this.client = client;
    this.reporter = reporter;
    this.listener = listener;
  }

  /**
   * Sends a request to an engine.
   *
   * @return false if the engine is no longer listed
   */
  boolean start(long nowNanos, ModelExchange exchange, RoutingDecision.ToEngine decision) {
    EngineState engine = state.engines().get(decision.engine());
    if (engine == null) {
      return false;
    }
    engine.requestSent();
    exchange.countAttempt();
    reporter.step(
        nowNanos, exchange, "to-engine", decision.engine().value(), decision.reason().name());
    client.start(
        request(nowNanos, exchange, engine),
        exchange.timeouts(nowNanos),
        result -> onResult(exchange, engine, result));
    return true;
  }

  private static UpstreamRequest request(
      long nowNanos, ModelExchange exchange, EngineState engine) {
    Map<String, String> headers = new HashMap<>();
    headers.put(HeaderNames.REQUEST_ID, exchange.id().value());
    int priority = exchange.routingRequest().rank() == Rank.URGENT ? URGENT_PRIORITY : 0;
    headers.put(HeaderNames.PRIORITY, Integer.toString(priority));
    return new UpstreamRequest(
        "POST",
        "http://" + engine.record().address() + exchange.path(),
        headers,
        exchange.body(),
        "application/json",
        nowNanos + exchange.remaining(nowNanos).toNanos());
  }

  private void onResult(ModelExchange exchange, EngineState engine, UpstreamResult result) {
    Optional<Outcome> failure = Optional.empty();
    try {
      failure = handleResult(exchange, engine, result);
    } finally {
      engine.requestEnded();
      listener.engineReleased(exchange);
    }
    failure.ifPresent(outcome -> listener.attemptFailed(System.nanoTime(), exchange, outcome));
  }

  private Optional<Outcome> handleResult(
      ModelExchange exchange, EngineState engine, UpstreamResult result) {
    String id = engine.id().value();
    if (result instanceof UpstreamResult.Responded responded) {
      var timer = new TokenTimer(exchange, reporter);
      var failure =
          ResponseCopier.copy(exchange, responded, state.config().region(), timer, reporter);
      timer.meanGapNanos().ifPresent(gap -> adaptLimit(exchange, engine, gap));
      failure.ifPresent(
          outcome -> reporter.step(System.nanoTime(), exchange, "engine-broke-off", id, ""));
      return failure;
    }
    long nowNanos = System.nanoTime();
    if (result instanceof UpstreamResult.Refused refused) {
      reporter.step(nowNanos, exchange, "engine-refused", id, refused.code());
      applyRefusal(nowNanos, engine, refused.code());
      return Optional.of(new Outcome.NotRun(NotRunReason.REFUSED_BEFORE_START));
    }
    var failed = (UpstreamResult.Failed) result;
    reporter.step(nowNanos, exchange, "engine-failed", id, failed.message());
    engine.markSuspect(nowNanos);
    return Optional.of(failed.outcome());
  }

  private static void adaptLimit(ModelExchange exchange, EngineState engine, long gapNanos) {
    long targetNanos = exchange.settings().tokenGapTarget().toNanos();
    engine.recordTokenGap(System.nanoTime(), gapNanos, targetNanos);
  }

  private void applyRefusal(long nowNanos, EngineState engine, String code) {
    switch (code) {
      case "leaving" -> state.engines().markLeaving(engine.id(), nowNanos);
      case "full" -> engine.recordFullRefusal(nowNanos);
      default -> engine.markSuspect(nowNanos);
    }
  }
}
