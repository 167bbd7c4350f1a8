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
 * Sends requests to other regions, each request at most once to each region.
 *
 * <p>Safe for use by several threads.
 */
final class RegionAttempts {

  private static final long BYTES_PER_ANSWER_TOKEN = 150;

  private final FleetState state;
  private final ModelReport report;
  private final AttemptEnds ends;
  private final AwayCalls away = new AwayCalls();

  RegionAttempts(FleetState state, ModelReport report, AttemptEnds ends) {
    this.state = state;
    this.report = report;
    this.ends = ends;
  }

  /**
   * Sends a request to a region.
   *
   * @return false if no instance there can be used, or the request may not be sent
   */
  boolean start(long nowNanos, ModelExchange exchange, RoutingDecision.ToRegion to) {
    RegionId region = to.region();
    exchange.tryRegion(region);
    exchange.nextAttempt();
    Optional<Call> call =
        exchange
            .forwarding()
            .forward(nowNanos, exchange, region, r -> answered(nowNanos, exchange, region, r));
    if (call.isEmpty()) {
      return false;
    }
    away.add(region, exchange.route().id(), call.get());
    long answerBytes = exchange.route().maxTokens() * BYTES_PER_ANSWER_TOKEN;
    state.regions().sent(nowNanos, region, exchange.body().length + answerBytes);
    report.forwarded(nowNanos, exchange, to);
    return true;
  }

  private void answered(
      long sentNanos, ModelExchange exchange, RegionId region, UpstreamResult result) {
    away.remove(region, exchange.route().id());
    long now = System.nanoTime();
    if (result instanceof UpstreamResult.Answer answer) {
      state.backoff().succeeded(now, region);
      var clock = new TokenClock(exchange, report);
      AnswerCopy.copy(exchange, answer, region, clock, report)
          .ifPresent(outcome -> ends.failed(System.nanoTime(), exchange, outcome));
      return;
    }
    state.backoff().failed(now, sentNanos, region);
    if (result instanceof UpstreamResult.Refused refused) {
      report.step(now, exchange, "region-refused", region.value(), refused.code());
      ends.failed(now, exchange, new Outcome.NotRun(NotRunReason.REFUSED_BEFORE_START));
    } else if (result instanceof UpstreamResult.Failed failed) {
      report.step(now, exchange, "region-failed", region.value(), failed.message());
      ends.failed(now, exchange, failed.outcome());
    }
  }

  /** Gives up the exchanges with regions that have fallen silent; their requests go on here. */
  void leaveSilent(long nowNanos) {
    for (RegionId region : away.regions()) {
      if (state.regions().fresh(nowNanos, region).isEmpty()) {
        away.cancelAll(region);
      }
    }
  }
}
