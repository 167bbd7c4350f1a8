package org.gentianslip.entry.service;

import java.io.IOException;
import java.util.Optional;
import org.gentianslip.core.outcome.AttemptJournal;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.RetryDecision;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.relay.ConfiguredRetryRule;
import org.gentianslip.entry.relay.ResponseBodyReader;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.state.FleetState;

/**
 * Runs idempotent calls.
 *
 * <p>A failed attempt is retried at the next backend server, within the retry budget and the
 * deadline. Safe for use by several threads.
 */
final class IdempotentCalls {

  private static final int MAX_ATTEMPTS = 3;
  private static final long MIN_REMAINING_NANOS = 5_000_000L;

  private final FleetState state;
  private final UpstreamClient client;
  private final ServiceBackends backends;
  private final ConfiguredRetryRule retryRule;

  IdempotentCalls(FleetState state, UpstreamClient client) {
    this.retryRule = new ConfiguredRetryRule(state, MAX_ATTEMPTS, MIN_REMAINING_NANOS);
    this.state = state;
    this.client = client;
    this.backends = new ServiceBackends(state);
  }

  void run(long nowNanos, ServiceExchange exchange) {
    retryRule.recordRequest();
    attempt(nowNanos, exchange);
  }

  private void attempt(long nowNanos, ServiceExchange exchange) {
    Optional<BackendRecord> next = backends.next(nowNanos, exchange);
    if (next.isEmpty()) {
      exchange.fail(
          ErrorReply.notRun(
              ErrorCode.NO_CAPACITY,
              "No backend server of this region is available for the service."));
      return;
    }
    BackendRecord backend = next.get();
    exchange.beginAttempt(backend.id());
    exchange.step(nowNanos, "to-service", backend.id(), "REPEATABLE");
    ServiceCall call = exchange.call();
    client.start(
        ServiceCallMapper.toBackendRequest(call, backend, call.deadlineNanos()),
        exchange.timeouts(nowNanos),
        result -> onResult(exchange, backend, result));
  }

  private void onResult(ServiceExchange exchange, BackendRecord backend, UpstreamResult result) {
    if (result instanceof UpstreamResult.Responded responded) {
      copyResponse(exchange, responded);
    } else if (result instanceof UpstreamResult.Refused refused) {
      backends.applyRefusal(System.nanoTime(), exchange, backend, refused.code());
      retryOrFail(exchange, refused.outcome());
    } else if (result instanceof UpstreamResult.Failed failed) {
      retryOrFail(exchange, failed.outcome());
    }
  }

  private void copyResponse(ServiceExchange exchange, UpstreamResult.Responded responded) {
    AttemptJournal journal = responded.journal();
    byte[] body;
    try {
      body = ResponseBodyReader.read(responded.response());
    } catch (IOException e) {
      retryOrFail(exchange, journal.close());
      return;
    }
    journal.answerCompleted();
    String region = state.config().region().value();
    exchange.send(
        responded.response().code(),
        ServiceCallMapper.responseHeaders(responded.response(), region, journal.close()),
        body);
  }

  private void retryOrFail(ServiceExchange exchange, Outcome outcome) {
    long nowNanos = System.nanoTime();
    RetryDecision decision =
        retryRule
            .rule()
            .decide(
                nowNanos,
                exchange.call().deadlineNanos(),
                exchange.attempts(),
                true,
                false,
                outcome);
    exchange.step(nowNanos, "retry", "", decision.name());
    if (decision.isRetry()) {
      attempt(nowNanos, exchange);
      return;
    }
    exchange.fail(failureReply(outcome));
  }

  private static ErrorReply failureReply(Outcome outcome) {
    String message = "No backend server responded to the call.";
    return outcome instanceof Outcome.NotRun
        ? ErrorReply.notRun(ErrorCode.NO_CAPACITY, message)
        : ErrorReply.unknown(ErrorCode.BACKEND_FAILED, message);
  }
}
