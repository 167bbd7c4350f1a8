package org.gentianslip.entry.service;

import java.io.IOException;
import java.util.Optional;
import org.gentianslip.core.outcome.AttemptJournal;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.outcome.RetryDecision;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.relay.RetryRules;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.relay.WholeBody;
import org.gentianslip.entry.state.FleetState;

/**
 * Runs calls that may be repeated.
 *
 * <p>A failed attempt goes to the next backend server, within the retry budget and the deadline.
 * Safe for use by several threads.
 */
final class RepeatableCalls {

  private static final int MAX_ATTEMPTS = 3;
  private static final long LEAST_USEFUL_NANOS = 5_000_000L;

  private final FleetState state;
  private final UpstreamClient client;
  private final ServiceBackends backends;
  private final RetryRules retries;

  RepeatableCalls(FleetState state, UpstreamClient client) {
    this.retries = new RetryRules(state, MAX_ATTEMPTS, LEAST_USEFUL_NANOS);
    this.state = state;
    this.client = client;
    this.backends = new ServiceBackends(state);
  }

  void run(long nowNanos, ServiceExchange exchange) {
    retries.requestStarted();
    attempt(nowNanos, exchange);
  }

  private void attempt(long nowNanos, ServiceExchange exchange) {
    Optional<BackendRecord> next = backends.next(nowNanos, exchange);
    if (next.isEmpty()) {
      exchange.fail(
          ErrorReply.notRun(
              ErrorCode.NO_CAPACITY, "No backend server of this region runs the service."));
      return;
    }
    BackendRecord backend = next.get();
    exchange.beginAttempt(backend.id());
    exchange.step(nowNanos, "to-service", backend.id(), "REPEATABLE");
    ServiceCall call = exchange.call();
    client.start(
        BackendRequests.toBackend(call, backend, call.endNanos()),
        exchange.timeouts(nowNanos),
        result -> answered(exchange, backend, result));
  }

  private void answered(ServiceExchange exchange, BackendRecord backend, UpstreamResult result) {
    if (result instanceof UpstreamResult.Answer answer) {
      copy(exchange, answer);
    } else if (result instanceof UpstreamResult.Refused refused) {
      backends.refused(System.nanoTime(), exchange, backend, refused.code());
      again(exchange, refused.outcome());
    } else if (result instanceof UpstreamResult.Failed failed) {
      again(exchange, failed.outcome());
    }
  }

  private void copy(ServiceExchange exchange, UpstreamResult.Answer answer) {
    AttemptJournal journal = answer.journal();
    byte[] body;
    try {
      body = WholeBody.read(answer.response());
    } catch (IOException e) {
      again(exchange, journal.close());
      return;
    }
    journal.answerRead();
    String region = state.place().region().value();
    exchange.send(
        answer.response().code(),
        BackendRequests.answerHeaders(answer.response(), region, journal.close()),
        body);
  }

  private void again(ServiceExchange exchange, Outcome outcome) {
    long now = System.nanoTime();
    RetryDecision decision =
        retries
            .rule()
            .decide(now, exchange.call().endNanos(), exchange.attempts(), true, false, outcome);
    exchange.step(now, "retry", "", decision.name());
    if (decision.isRetry()) {
      attempt(now, exchange);
      return;
    }
    exchange.fail(failure(outcome));
  }

  private static ErrorReply failure(Outcome outcome) {
    String message = "No backend server answered the call.";
    return outcome instanceof Outcome.NotRun
        ? ErrorReply.notRun(ErrorCode.NO_CAPACITY, message)
        : ErrorReply.unknown(ErrorCode.BACKEND_FAILED, message);
  }
}
