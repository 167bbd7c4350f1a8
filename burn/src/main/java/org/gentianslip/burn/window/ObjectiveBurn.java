package org.gentianslip.burn.window;

import java.util.List;
import java.util.Map;
import org.gentianslip.burn.objective.Objective;

/**
 * How fast an objective burns, and why.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param objective the objective
 * @param windows the burn over each window, the shortest first
 * @param budgetLeft the share of the budget that is left since the instances started; negative if
 *     it is overspent
 * @param score the burn rate that a window and the next longer one both reach, the greatest of all
 *     pairs
 * @param causes the number of bad requests of each cause over the longest window
 * @param regions the number of bad requests of each region over the longest window
 * @param codes the number of refusals of each code over the longest window, for ranks
 */
public record ObjectiveBurn(
    Objective objective,
    List<WindowBurn> windows,
    double budgetLeft,
    double score,
    Map<String, Double> causes,
    Map<String, Double> regions,
    Map<String, Double> codes) {

  /** The burn rate from which an operator should look at once. */
  public static final double FAST_RATE = 14.4;

  /** The burn rate from which an operator should look within the day. */
  public static final double SLOW_RATE = 1;

  /** Returns {@code fast}, {@code slow} or {@code ok}. */
  public String state() {
    if (score >= FAST_RATE) {
      return "fast";
    }
    return score > SLOW_RATE ? "slow" : "ok";
  }
}
