package org.gentianslip.burn.report;

import java.util.List;
import java.util.Map;
import org.gentianslip.burn.window.BurnRatePoint;
import org.gentianslip.burn.window.ObjectiveBurn;

/**
 * A report on how fast service-level objectives burn their error budgets.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the settings that define the objectives
 * @param burns the burn of each objective, the fastest first
 * @param rates the burn rates over time, by the name of the objective
 * @param unreachable the instances whose metrics could not be read in the last scrape
 */
public record BurnReport(
    long revision,
    List<ObjectiveBurn> burns,
    Map<String, List<BurnRatePoint>> rates,
    List<String> unreachable) {

  /** Copies the collections. */
  public BurnReport {
    burns = List.copyOf(burns);
    rates = Map.copyOf(rates);
    unreachable = List.copyOf(unreachable);
  }

  /** Returns a sentence about the objective that burns fastest and the causes of its burn. */
  public String summary() {
    return burns.isEmpty() ? "There is no objective." : BurnDescription.describe(burns.get(0));
  }

  /** Returns whether an objective burns so fast that an operator should act at once. */
  public boolean hasFastBurn() {
    return burns.stream().anyMatch(burn -> burn.state().equals("fast"));
  }
}
