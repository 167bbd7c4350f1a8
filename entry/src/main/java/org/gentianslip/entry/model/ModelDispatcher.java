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
import org.gentianslip.entry.relay.ConfiguredRetryRule;
import org.gentianslip.entry.state.FleetState;

/**
 * Routes admitted model requests and tracks each of them until it ends.
 *
 * <p>Every request passes through the queue of its model. One thread at a time places requests, so
 * that each placement is taken into account by the next decision. Every request ends exactly once.
 * Safe for use by several threads.
 */
final class ModelDispatcher implements AttemptListener {

  private static final long RETRY_AFTER_MILLIS = 500;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final FleetState state;
  private final ModelQueues queues;
  private final EngineAttempts engines;
  private final RegionAttempts regions;
  private final ConfiguredRetryRule retryRule;
  private final ModelRequestReporter reporter;
  private final Map<RequestId, ModelExchange> waiting;
  private final ReentrantLock placementLock = new ReentrantLock();
  private final AtomicBoolean placementRequested = new AtomicBoolean();

  /**
   * Creates a dispatcher.
   *
   * @param waiting receives the waiting requests by their ids; the routing policy reads it
   */
  ModelDispatcher(
      FleetState state,
      ModelQueues queues,
      Map<RequestId, ModelExchange> waiting,
      ConfiguredRetryRule retryRule,
      ModelRequestReporter reporter,
      AttemptsFactory factory) {
    this.state = state;
    this.queues = queues;
    this.waiting = waiting;
    this.retryRule = retryRule;
    this.reporter = reporter;
    this.engines = factory.engines(this);
    this.regions = factory.regions(this);
  }

  /** Creates the senders of attempts, which notify a listener when an attempt ends. */
  interface AttemptsFactory {

    /** Returns the sender of requests to engines. */
    EngineAttempts engines(AttemptListener listener);

    /** Returns the sender of requests to other regions. */
    RegionAttempts regions(AttemptListener listener);
  }

  /** Returns an empty map for the waiting requests of one dispatcher. */
  static Map<RequestId, ModelExchange> newWaitingMap() {
    return new ConcurrentHashMap<>();
  }

  /** Queues an admitted request and places it if there is capacity. */
  void submit(long nowNanos, ModelExchange exchange) {
    reporter.admitted();
    enqueue(nowNanos, exchange);
    placeWaiting(nowNanos);
  }

  private void enqueue(long nowNanos, ModelExchange exchange) {
    RoutingRequest request = exchange.routingRequest();
    waiting.put(request.id(), exchange);
    OfferResult result = queues.dispatcherOf(request.model()).offer(nowNanos, request);
    if (result instanceof OfferResult.Refused refused) {
      waiting.remove(request.id());
      refuse(nowNanos, exchange, refused.reason(), refused.retryAfterMillis());
    } else if (result instanceof OfferResult.AcceptedByDisplacing displacing) {
      ModelExchange displaced = waiting.remove(displacing.displaced().id());
      refuse(nowNanos, displaced, RoutingReason.OVER_SHARE, RETRY_AFTER_MILLIS);
    }
  }

  /** Places as many waiting requests as there is capacity for. */
  void placeWaiting(long nowNanos) {
    placementRequested.set(true);
    if (placementLock.isHeldByCurrentThread()) {
      return;
    }
    while (placementRequested.get() && placementLock.tryLock()) {
      try {
        while (placementRequested.getAndSet(false)) {
          queues.dispatchers().forEach(dispatcher -> placeFrom(nowNanos, dispatcher));
        }
      } finally {
        placementLock.unlock();
      }
    }
  }

  private void placeFrom(long nowNanos, Dispatcher dispatcher) {
    while (true) {
      long hash = ThreadLocalRandom.current().nextLong();
      Optional<Placement> placement = dispatcher.next(nowNanos, state.routingView(nowNanos, hash));
      if (placement.isEmpty()) {
        return;
      }
      ModelExchange exchange = waiting.remove(placement.get().request().id());
      if (exchange != null) {
        execute(nowNanos, exchange, placement.get().decision());
      }
    }
  }

  private void execute(long nowNanos, ModelExchange exchange, RoutingDecision decision) {
    if (decision instanceof RoutingDecision.ToEngine target) {
      if (!engines.start(nowNanos, exchange, target)) {
        queues
            .dispatcherOf(exchange.routingRequest().model())
            .recordEnd(nowNanos, exchange.routingRequest());
        enqueue(nowNanos, exchange);
      }
    } else if (decision instanceof RoutingDecision.ToRegion target) {
      if (!regions.start(nowNanos, exchange, target)) {
        enqueue(nowNanos, exchange);
      }
    } else if (decision instanceof RoutingDecision.Refuse refusal) {
      refuse(nowNanos, exchange, refusal.reason(), refusal.retryAfterMillis());
    }
  }

  /**
   * Refuses requests whose waiting time is over, cancels calls to unreachable regions, and places
   * waiting requests.
   */
  void tick(long nowNanos) {
    if (queues.applyLimits()) {
      waiting.values().forEach(exchange -> enqueueAgain(nowNanos, exchange));
    }
    for (Dispatcher dispatcher : queues.dispatchers()) {
      for (RoutingRequest expired : dispatcher.expire(nowNanos)) {
        ModelExchange exchange = waiting.remove(expired.id());
        if (exchange != null) {
          refuse(nowNanos, exchange, RoutingReason.DEADLINE, RETRY_AFTER_MILLIS);
        }
      }
    }
    regions.cancelUnreachable(nowNanos);
    if (!waiting.isEmpty()) {
      placeWaiting(nowNanos);
    }
  }

  private void enqueueAgain(long nowNanos, ModelExchange exchange) {
    if (waiting.containsKey(exchange.routingRequest().id())) {
      enqueue(nowNanos, exchange);
    }
  }

  /** Returns the number of waiting requests. */
  int waitingCount() {
    return waiting.size();
  }

  @Override
  public void engineReleased(ModelExchange exchange) {
    long nowNanos = System.nanoTime();
    queues
        .dispatcherOf(exchange.routingRequest().model())
        .recordEnd(nowNanos, exchange.routingRequest());
    placeWaiting(nowNanos);
  }

  @Override
  public void attemptFailed(long nowNanos, ModelExchange exchange, Outcome outcome) {
    if (!(outcome instanceof Outcome.NotRun)) {
      exchange.markStartedUpstream();
    }
    RetryDecision decision =
        retryRule
            .rule()
            .decide(
                nowNanos,
                nowNanos + exchange.remaining(nowNanos).toNanos(),
                exchange.attempts(),
                true,
                false,
                outcome);
    if (decision.isRetry()) {
      exchange.renewFirstTokenDeadline(nowNanos);
      enqueue(nowNanos, exchange);
      placeWaiting(nowNanos);
      return;
    }
    reporter.step(nowNanos, exchange, "no-retry", "", decision.name());
    end(
        nowNanos,
        exchange,
        replyFor(exchange, ErrorCode.BACKEND_FAILED, "No engine responded to the request."));
  }

  private void refuse(
      long nowNanos, ModelExchange exchange, RoutingReason reason, long retryAfterMillis) {
    reporter.step(nowNanos, exchange, "refuse", "", reason.name());
    ErrorReply reply =
        reason == RoutingReason.DEADLINE
            ? replyFor(
                exchange,
                ErrorCode.DEADLINE,
                "No engine became available while the request waited.")
            : replyFor(
                exchange, ErrorCode.NO_CAPACITY, "No capacity is available for this request.");
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
    reporter.failed(nowNanos, exchange, reply);
    boolean notStarted =
        exchange.routingRequest().forwarded() && reply.outcome() == OutcomeName.NOT_RUN;
    exchange.sink().fail(notStarted ? reply.withHeader(HeaderNames.NOT_STARTED, "true") : reply);
  }
}
