package org.gentianslip.entry.model;

import java.util.Optional;
import okhttp3.Call;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.outcome.NotRunReason;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.routing.RoutingDecision;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.state.FleetState;

/**
 * Sends model requests to other regions, each request at most once to each region.
 *
 * <p>Safe for use by several threads.
 */
final class RegionAttempts {

  private static final long BYTES_PER_RESPONSE_TOKEN = 150;

  private final FleetState state;
  private final ModelRequestReporter reporter;
  private final AttemptListener listener;
  private final ForwardedCalls forwardedCalls = new ForwardedCalls();

  RegionAttempts(FleetState state, ModelRequestReporter reporter, AttemptListener listener) {
    this.state = state;
    this.reporter = reporter;
    this.listener = listener;
  }

  /**
   * Sends a request to a region.
   *
   * @return false if no instance of the region can be used or the request must not be sent there
   */
  boolean start(long nowNanos, ModelExchange exchange, RoutingDecision.ToRegion decision) {
    RegionId region = decision.region();
    exchange.addTriedRegion(region);
    exchange.countAttempt();
    Optional<Call> call =
        exchange
            .forwarder()
            .forward(
                nowNanos, exchange, region, result -> onResult(nowNanos, exchange, region, result));
    if (call.isEmpty()) {
      return false;
    }
    forwardedCalls.add(region, exchange.routingRequest().id(), call.get());
    long responseBytes = exchange.routingRequest().maxTokens() * BYTES_PER_RESPONSE_TOKEN;
    state.regions().recordSent(nowNanos, region, exchange.body().length + responseBytes);
    reporter.forwarded(nowNanos, exchange, decision);
    return true;
  }

  private void onResult(
      long sentNanos, ModelExchange exchange, RegionId region, UpstreamResult result) {
    forwardedCalls.remove(region, exchange.routingRequest().id());
    long nowNanos = System.nanoTime();
    if (result instanceof UpstreamResult.Responded responded) {
      state.backoff().succeeded(nowNanos, region);
      var timer = new TokenTimer(exchange, reporter);
      ResponseCopier.copy(exchange, responded, region, timer, reporter)
          .ifPresent(outcome -> listener.attemptFailed(System.nanoTime(), exchange, outcome));
      return;
    }
    state.backoff().failed(nowNanos, sentNanos, region);
    if (result instanceof UpstreamResult.Refused refused) {
      reporter.step(nowNanos, exchange, "region-refused", region.value(), refused.code());
      listener.attemptFailed(
          nowNanos, exchange, new Outcome.NotRun(NotRunReason.REFUSED_BEFORE_START));
    } else if (result instanceof UpstreamResult.Failed failed) {
      reporter.step(nowNanos, exchange, "region-failed", region.value(), failed.message());
      listener.attemptFailed(nowNanos, exchange, failed.outcome());
    }
  }

  /**
   * Cancels the calls to regions without a recent capacity report; their requests count as failed
   * there and may be retried.
   */
  void cancelUnreachable(long nowNanos) {
    for (RegionId region : forwardedCalls.regions()) {
      if (state.regions().freshReport(nowNanos, region).isEmpty()) {
        forwardedCalls.cancelAll(region);
      }
    }
  }
}
