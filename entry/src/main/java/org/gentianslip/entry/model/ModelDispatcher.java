package org.gentianslip.entry.model;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.RetryDecision;
import org.gentianslip.core.queue.Dispatcher;
import org.gentianslip.core.queue.OfferResult;
import org.gentianslip.core.queue.Placement;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.core.routing.RoutingReason;
import org.gentianslip.core.routing.RoutingRequest;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.OutcomeName;
import org.gentianslip.entry.relay.RetryRules;
import org.gentianslip.entry.state.FleetState;

/**
 * Carries model requests from admission to their end.
 *
 * <p>Every request passes through the queue of its model; one thread at a time places requests, so
 * that each placement counts in the next decision. Every request ends exactly once. Safe for use by
 * several threads.
 */
final class ModelDispatcher implements AttemptEnds {

  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final FleetState state;
  private final ModelQueues queues;
  private final EngineAttempts engines;
  private final RegionAttempts regions;
  private final RetryRules retries;
  private final ModelReport report;
  private final Map<RequestId, ModelExchange> waiting;
  private final ReentrantLock placing = new ReentrantLock();
  private final AtomicBoolean wanted = new AtomicBoolean();

  /**
   * Creates a dispatcher.
   *
   * @param waiting holds the waiting requests; the policy reads it
   */
  ModelDispatcher(
      FleetState state,
      ModelQueues queues,
      Map<RequestId, ModelExchange> waiting,
      RetryRules retries,
      ModelReport report,
      Attempts attempts) {
    this.state = state;
    this.queues = queues;
    this.waiting = waiting;
    this.retries = retries;
    this.report = report;
    this.engines = attempts.engines(this);
    this.regions = attempts.regions(this);
  }

  /** Makes the two kinds of attempts, which tell their ends to a dispatcher. */
  interface Attempts {

    /** Returns the attempts at engines. */
    EngineAttempts engines(AttemptEnds ends);

    /** Returns the attempts at other regions. */
    RegionAttempts regions(AttemptEnds ends);
  }

  /** Returns a map for the waiting requests of one dispatcher. */
  static Map<RequestId, ModelExchange> newWaiting() {
    return new ConcurrentHashMap<>();
  }

  /** Takes an admitted request. */
  void submit(long nowNanos, ModelExchange exchange) {
    report.admitted();
    offer(nowNanos, exchange);
    place(nowNanos);
  }

  private void offer(long nowNanos, ModelExchange exchange) {
    RoutingRequest route = exchange.route();
    waiting.put(route.id(), exchange);
    OfferResult result = queues.of(route.model()).offer(nowNanos, route);
    if (result instanceof OfferResult.Refused refused) {
      waiting.remove(route.id());
      refuse(nowNanos, exchange, refused.reason(), refused.retryAfterMillis());
    } else if (result instanceof OfferResult.AcceptedByDisplacing instead) {
      ModelExchange displaced = waiting.remove(instead.displaced().id());
      refuse(nowNanos, displaced, RoutingReason.OVER_SHARE, RETRY_AFTER_MILLIS);
    }
  }

  /** Places what can be placed now. */
  void place(long nowNanos) {
    wanted.set(true);
    if (placing.isHeldByCurrentThread()) {
      return;
    }
    while (wanted.get() && placing.tryLock()) {
      try {
        while (wanted.getAndSet(false)) {
          queues.all().forEach(d -> placeAll(nowNanos, d));
        }
      } finally {
        placing.unlock();
      }
    }
  }

  private void placeAll(long nowNanos, Dispatcher dispatcher) {
    while (true) {
      long hash = ThreadLocalRandom.current().nextLong();
      Optional<Placement> placed = dispatcher.next(nowNanos, state.view(nowNanos, hash));
      if (placed.isEmpty()) {
        return;
      }
      ModelExchange exchange = waiting.remove(placed.get().request().id());
      if (exchange != null) {
        carryOut(nowNanos, exchange, placed.get().decision());
      }
    }
  }

  private void carryOut(long nowNanos, ModelExchange exchange, RoutingDecision decision) {
    if (decision instanceof RoutingDecision.ToEngine to) {
      if (!engines.start(nowNanos, exchange, to)) {
        queues.of(exchange.route().model()).ended(nowNanos, exchange.route());
        offer(nowNanos, exchange);
      }
    } else if (decision instanceof RoutingDecision.ToRegion to) {
      if (!regions.start(nowNanos, exchange, to)) {
        offer(nowNanos, exchange);
      }
    } else if (decision instanceof RoutingDecision.Refuse no) {
      refuse(nowNanos, exchange, no.reason(), no.retryAfterMillis());
    }
  }

  /** Refuses what waits in vain, leaves silent regions, and places what can be placed. */
  void tick(long nowNanos) {
    if (queues.refresh()) {
      waiting.values().forEach(e -> offerAgain(nowNanos, e));
    }
    for (Dispatcher dispatcher : queues.all()) {
      for (RoutingRequest expired : dispatcher.expire(nowNanos)) {
        ModelExchange exchange = waiting.remove(expired.id());
        if (exchange != null) {
          refuse(nowNanos, exchange, RoutingReason.DEADLINE, RETRY_AFTER_MILLIS);
        }
      }
    }
    regions.leaveSilent(nowNanos);
    if (!waiting.isEmpty()) {
      place(nowNanos);
    }
  }

  private void offerAgain(long nowNanos, ModelExchange exchange) {
    if (waiting.containsKey(exchange.route().id())) {
      offer(nowNanos, exchange);
    }
  }

  /** Returns the number of waiting requests. */
  int waitingCount() {
    return waiting.size();
  }

  @Override
  public void engineFreed(ModelExchange exchange) {
    long now = System.nanoTime();
    queues.of(exchange.route().model()).ended(now, exchange.route());
    place(now);
  }

  @Override
  public void failed(long nowNanos, ModelExchange exchange, Outcome outcome) {
    if (!(outcome instanceof Outcome.NotRun)) {
      exchange.markStartedUpstream();
    }
    RetryDecision decision =
        retries
            .rule()
            .decide(
                nowNanos,
                nowNanos + exchange.remaining(nowNanos).toNanos(),
                exchange.attempts(),
                true,
                false,
                outcome);
    if (decision.isRetry()) {
      exchange.renewRoute(nowNanos);
      offer(nowNanos, exchange);
      place(nowNanos);
      return;
    }
    report.step(nowNanos, exchange, "no-retry", "", decision.name());
    end(
        nowNanos,
        exchange,
        replyFor(exchange, ErrorCode.BACKEND_FAILED, "No engine answered the request."));
  }

  private void refuse(
      long nowNanos, ModelExchange exchange, RoutingReason reason, long retryAfterMillis) {
    report.step(nowNanos, exchange, "refuse", "", reason.name());
    ErrorReply reply =
        reason == RoutingReason.DEADLINE
            ? replyFor(exchange, ErrorCode.DEADLINE, "No engine is free in time for this request.")
            : replyFor(exchange, ErrorCode.NO_CAPACITY, "No capacity is free for this request.");
    long seconds = Math.max(1, (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    end(nowNanos, exchange, reply.withHeader("Retry-After", Long.toString(seconds)));
  }

  private static ErrorReply replyFor(ModelExchange exchange, ErrorCode code, String message) {
    return exchange.startedUpstream()
        ? ErrorReply.unknown(code, message)
        : ErrorReply.notRun(code, message);
  }

  private void end(long nowNanos, ModelExchange exchange, ErrorReply reply) {
    if (!exchange.finishOnce()) {
      return;
    }
    report.failed(nowNanos, exchange, reply);
    boolean refusal = exchange.route().forwarded() && reply.outcome() == OutcomeName.NOT_RUN;
    exchange.sink().fail(refusal ? reply.withHeader(HeaderNames.NOT_STARTED, "true") : reply);
  }
}
