package org.gentianslip.burn.window;

import java.util.List;
import java.util.Map;
import org.gentianslip.burn.objective.Objective;

/**
 * How fast an objective burns its error budget, and why.
 *
 * <p>Immutable and thread-safe.
 *
 * @param objective the objective
 * @param windows the burn over each window, the shortest first
 * @param budgetLeft the share of the error budget that is left since the instances started;
 *     negative if the budget is overspent
 * @param score the maximum, over all pairs of successive windows, of the lower burn rate of the
 *     two; with a single window, its burn rate
 * @param causes the number of bad requests by cause over the longest window
 * @param regions the number of bad requests by region over the longest window
 * @param codes the number of refusals by code over the longest window; empty for customers
 */
public record ObjectiveBurn(
    Objective objective,
    List<WindowBurn> windows,
    double budgetLeft,
    double score,
    Map<String, Double> causes,
    Map<String, Double> regions,
    Map<String, Double> codes) {

  /** The burn rate from which an operator should act at once. */
  public static final double FAST_RATE = 14.4;

  /** The burn rate above which an operator should act within the day. */
  public static final double SLOW_RATE = 1;

  /** Returns the state of the objective in reports: {@code fast}, {@code slow} or {@code ok}. */
  public String state() {
    if (score >= FAST_RATE) {
      return "fast";
    }
    return score > SLOW_RATE ? "slow" : "ok";
  }
}
