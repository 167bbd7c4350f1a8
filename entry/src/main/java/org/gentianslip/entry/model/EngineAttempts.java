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

/** Sends requests to engines of the own region. Safe for use by several threads. */
final class EngineAttempts {

  private static final int URGENT_PRIORITY = 10;

  private final FleetState state;
  private final UpstreamClient client;
  private final ModelReport report;
  private final AttemptEnds ends;

  EngineAttempts(FleetState state, UpstreamClient client, ModelReport report, AttemptEnds ends) {
    this.state = state;
    this.client = client;
    this.report = report;
    this.ends = ends;
  }

  /**
   * Sends a request to an engine.
   *
   * @return false if the engine is not listed any more
   */
  boolean start(long nowNanos, ModelExchange exchange, RoutingDecision.ToEngine to) {
    EngineState engine = state.engines().get(to.engine());
    if (engine == null) {
      return false;
    }
    engine.begin();
    exchange.nextAttempt();
    report.step(nowNanos, exchange, "to-engine", to.engine().value(), to.reason().name());
    client.start(
        request(nowNanos, exchange, engine),
        exchange.timeouts(nowNanos),
        result -> answered(exchange, engine, result));
    return true;
  }

  private static UpstreamRequest request(
      long nowNanos, ModelExchange exchange, EngineState engine) {
    Map<String, String> headers = new HashMap<>();
    headers.put(HeaderNames.REQUEST_ID, exchange.id().value());
    int priority = exchange.route().rank() == Rank.URGENT ? URGENT_PRIORITY : 0;
    headers.put(HeaderNames.PRIORITY, Integer.toString(priority));
    return new UpstreamRequest(
        "POST",
        "http://" + engine.listed().address() + exchange.path(),
        headers,
        exchange.body(),
        "application/json",
        nowNanos + exchange.remaining(nowNanos).toNanos());
  }

  private void answered(ModelExchange exchange, EngineState engine, UpstreamResult result) {
    Optional<Outcome> failure = Optional.empty();
    try {
      failure = outcomeOf(exchange, engine, result);
    } finally {
      engine.finish();
      ends.engineFreed(exchange);
    }
    failure.ifPresent(outcome -> ends.failed(System.nanoTime(), exchange, outcome));
  }

  private Optional<Outcome> outcomeOf(
      ModelExchange exchange, EngineState engine, UpstreamResult result) {
    String id = engine.id().value();
    if (result instanceof UpstreamResult.Answer answer) {
      var clock = new TokenClock(exchange, report);
      var broken = AnswerCopy.copy(exchange, answer, state.place().region(), clock, report);
      clock.meanGapNanos().ifPresent(gap -> adapt(exchange, engine, gap));
      broken.ifPresent(o -> report.step(System.nanoTime(), exchange, "engine-broke-off", id, ""));
      return broken;
    }
    long now = System.nanoTime();
    if (result instanceof UpstreamResult.Refused refused) {
      report.step(now, exchange, "engine-refused", id, refused.code());
      noteRefusal(now, engine, refused.code());
      return Optional.of(new Outcome.NotRun(NotRunReason.REFUSED_BEFORE_START));
    }
    var failed = (UpstreamResult.Failed) result;
    report.step(now, exchange, "engine-failed", id, failed.message());
    engine.suspect(now);
    return Optional.of(failed.outcome());
  }

  private static void adapt(ModelExchange exchange, EngineState engine, long gapNanos) {
    long target = exchange.settings().tokenGapTarget().toNanos();
    engine.answered(System.nanoTime(), gapNanos, target);
  }

  private void noteRefusal(long nowNanos, EngineState engine, String code) {
    switch (code) {
      case "leaving" -> state.engines().markLeaving(engine.id(), nowNanos);
      case "full" -> engine.refusedAsFull(nowNanos);
      default -> engine.suspect(nowNanos);
    }
  }
}
