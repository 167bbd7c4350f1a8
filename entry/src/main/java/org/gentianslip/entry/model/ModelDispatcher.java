package org.gentianslip.entry.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import okhttp3.Call;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.outcome.NotRunReason;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.RetryRule;
import org.gentianslip.core.routing.RouteDecision;
import org.gentianslip.core.routing.RouteView;
import org.gentianslip.core.routing.RoutingPolicy;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.OutcomeName;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.relay.UpstreamRequest;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.state.EngineState;
import org.gentianslip.entry.state.FleetState;

/**
 * Carries model requests from admission to their end.
 *
 * <p>The routing policy decides; this class acts on its decisions. Every request ends exactly once.
 * Whether requests may leave the region depends on the {@link Forwarding} it was made with. Safe
 * for use by several threads.
 */
final class ModelDispatcher {

  private static final int URGENT_PRIORITY = 10;
  private static final int MAX_RACES = 4;

  private final FleetState state;
  private final RoutingPolicy policy;
  private final Forwarding forwarding;
  private final UpstreamClient client;
  private final RetryRule retries;
  private final ModelReport report;
  private final AwayCalls away = new AwayCalls();
  private final ConcurrentLinkedQueue<ModelExchange> waiting = new ConcurrentLinkedQueue<>();

  ModelDispatcher(
      FleetState state,
      RoutingPolicy policy,
      Forwarding forwarding,
      UpstreamClient client,
      RetryRule retries,
      ModelReport report) {
    this.state = state;
    this.policy = policy;
    this.forwarding = forwarding;
    this.client = client;
    this.retries = retries;
    this.report = report;
  }

  /** Takes an admitted request. */
  void submit(long nowNanos, ModelExchange exchange) {
    report.admitted();
    step(nowNanos, exchange);
  }

  /** Decides again about the waiting requests. */
  void retryWaiting(long nowNanos) {
    List<ModelExchange> batch = new ArrayList<>();
    for (ModelExchange e = waiting.poll(); e != null; e = waiting.poll()) {
      batch.add(e);
    }
    for (ModelExchange exchange : batch) {
      step(nowNanos, exchange);
    }
  }

  /** Gives up the exchanges with regions that have fallen silent; their requests go on here. */
  void leaveSilentRegions(long nowNanos) {
    for (RegionId region : away.regions()) {
      if (state.regions().fresh(nowNanos, region).isEmpty()) {
        away.cancelAll(region);
      }
    }
  }

  /** Returns the number of waiting requests. */
  int waitingCount() {
    return waiting.size();
  }

  private void step(long nowNanos, ModelExchange exchange) {
    for (int race = 0; race < MAX_RACES; race++) {
      if (exchange.expired(nowNanos)) {
        fail(
            nowNanos,
            exchange,
            ErrorCode.DEADLINE,
            "The deadline passed before an engine was free.");
        return;
      }
      RouteDecision decision =
          policy.decide(nowNanos, exchange.route(), viewFor(nowNanos, exchange));
      if (act(nowNanos, exchange, decision)) {
        return;
      }
    }
    waiting.add(exchange);
  }

  private boolean act(long nowNanos, ModelExchange exchange, RouteDecision decision) {
    if (decision instanceof RouteDecision.ToEngine to) {
      return startAtEngine(nowNanos, exchange, to);
    }
    if (decision instanceof RouteDecision.ToRegion to) {
      return startAtRegion(nowNanos, exchange, to);
    }
    if (decision instanceof RouteDecision.Wait) {
      waiting.add(exchange);
      return true;
    }
    var refuse = (RouteDecision.Refuse) decision;
    report.step(nowNanos, exchange, "refuse", "", refuse.reason().name());
    fail(nowNanos, exchange, ErrorCode.NO_CAPACITY, "No capacity is free for this request.");
    return true;
  }

  private boolean startAtEngine(long nowNanos, ModelExchange exchange, RouteDecision.ToEngine to) {
    EngineState engine = state.engines().get(to.engine());
    if (engine == null || !engine.begin(state.engines().view(nowNanos, engine).slots())) {
      return false;
    }
    report.step(nowNanos, exchange, "to-engine", to.engine().value(), to.reason().name());
    exchange.nextAttempt();
    var remaining = exchange.remaining(nowNanos);
    var timeouts =
        exchange.stream()
            ? exchange.settings().timeouts(remaining)
            : exchange.settings().wholeAnswerTimeouts(remaining);
    client.start(
        engineRequest(nowNanos, exchange, engine),
        timeouts,
        result -> engineAnswered(exchange, engine, result));
    return true;
  }

  private static UpstreamRequest engineRequest(
      long nowNanos, ModelExchange exchange, EngineState engine) {
    Map<String, String> headers = new HashMap<>();
    headers.put(HeaderNames.REQUEST_ID, exchange.route().id().value());
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

  private void engineAnswered(ModelExchange exchange, EngineState engine, UpstreamResult result) {
    Optional<Outcome> broken = Optional.empty();
    try {
      if (result instanceof UpstreamResult.Answer answer) {
        broken = AnswerCopy.copy(exchange, answer, state.place().region(), report);
      }
    } finally {
      engine.finish();
    }
    long now = System.nanoTime();
    if (broken.isPresent()) {
      report.step(now, exchange, "engine-broke-off", engine.id().value(), "answer not whole");
      again(now, exchange, broken.get());
    } else if (result instanceof UpstreamResult.Refused refused) {
      noteRefusal(now, exchange, engine, refused.code());
      again(now, exchange, new Outcome.NotRun(NotRunReason.REFUSED_BEFORE_START));
    } else if (result instanceof UpstreamResult.Failed failed) {
      engine.suspect(now);
      report.step(now, exchange, "engine-failed", engine.id().value(), failed.message());
      again(now, exchange, failed.outcome());
    }
    retryWaiting(System.nanoTime());
  }

  private void noteRefusal(long nowNanos, ModelExchange exchange, EngineState engine, String code) {
    report.step(nowNanos, exchange, "engine-refused", engine.id().value(), code);
    if (code.equals("leaving")) {
      state.engines().markLeaving(engine.id(), nowNanos);
    } else {
      engine.suspect(nowNanos);
    }
  }

  private RouteView viewFor(long nowNanos, ModelExchange exchange) {
    return state.view(nowNanos, exchange.requestHash(), exchange.closedRegions());
  }

  private boolean startAtRegion(long nowNanos, ModelExchange exchange, RouteDecision.ToRegion to) {
    exchange.tryRegion(to.region());
    exchange.nextAttempt();
    Optional<Call> call =
        forwarding.forward(
            nowNanos,
            exchange,
            to.region(),
            result -> regionAnswered(nowNanos, exchange, to.region(), result));
    if (call.isEmpty()) {
      return false;
    }
    away.add(to.region(), exchange.route().id(), call.get());
    report.forwarded(nowNanos, exchange, to);
    return true;
  }

  private void regionAnswered(
      long sentNanos, ModelExchange exchange, RegionId region, UpstreamResult result) {
    away.remove(region, exchange.route().id());
    long now = System.nanoTime();
    if (result instanceof UpstreamResult.Answer answer) {
      state.backoff().succeeded(now, region);
      AnswerCopy.copy(exchange, answer, region, report)
          .ifPresent(outcome -> again(System.nanoTime(), exchange, outcome));
      return;
    }
    state.backoff().failed(now, sentNanos, region);
    if (result instanceof UpstreamResult.Refused refused) {
      report.step(now, exchange, "region-refused", region.value(), refused.code());
      again(now, exchange, new Outcome.NotRun(NotRunReason.REFUSED_BEFORE_START));
    } else if (result instanceof UpstreamResult.Failed failed) {
      report.step(now, exchange, "region-failed", region.value(), failed.message());
      again(now, exchange, failed.outcome());
    }
  }

  /** Tries a model request again; it may run twice, since only one answer reaches the caller. */
  private void again(long nowNanos, ModelExchange exchange, Outcome outcome) {
    if (!(outcome instanceof Outcome.NotRun)) {
      exchange.markStartedUpstream();
    }
    var decision =
        retries.decide(
            nowNanos,
            nowNanos + exchange.remaining(nowNanos).toNanos(),
            exchange.attempts(),
            true,
            false,
            outcome);
    if (decision.isRetry()) {
      step(nowNanos, exchange);
      return;
    }
    report.step(nowNanos, exchange, "no-retry", "", decision.name());
    fail(nowNanos, exchange, ErrorCode.BACKEND_FAILED, "No engine answered the request.");
  }

  private void fail(long nowNanos, ModelExchange exchange, ErrorCode code, String message) {
    if (!exchange.finishOnce()) {
      return;
    }
    ErrorReply reply =
        exchange.startedUpstream()
            ? ErrorReply.unknown(code, message)
            : ErrorReply.notRun(code, message);
    report.failed(nowNanos, exchange, reply);
    exchange.sink().fail(exchange.route().forwarded() ? asRefusal(reply) : reply);
  }

  /** Marks a refusal towards a peer as one that came before any work. */
  private static ErrorReply asRefusal(ErrorReply reply) {
    boolean notRun = reply.outcome() == OutcomeName.NOT_RUN;
    return notRun ? reply.withHeader(HeaderNames.NOT_STARTED, "true") : reply;
  }
}
