package org.gentianslip.burn.report;

import java.util.List;
import java.util.Map;
import org.gentianslip.burn.window.ObjectiveBurn;
import org.gentianslip.burn.window.RatePoint;

/**
 * A report on service-level burn.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param revision the settings revision that gave the objectives
 * @param burns the objectives, the fastest burning first
 * @param rates the burn rates over time by the objective's name
 * @param unreachable the instances whose metrics could not be read the last time
 */
public record BurnReport(
    long revision,
    List<ObjectiveBurn> burns,
    Map<String, List<RatePoint>> rates,
    List<String> unreachable) {

  /** Copies the collections. */
  public BurnReport {
    burns = List.copyOf(burns);
    rates = Map.copyOf(rates);
    unreachable = List.copyOf(unreachable);
  }

  /** Returns a sentence on the objective that burns fastest and what drove it. */
  public String summary() {
    return burns.isEmpty() ? "There is no objective." : Driver.sentence(burns.get(0));
  }

  /** Tells whether an objective burns so fast that an operator should look at once. */
  public boolean hasFastBurn() {
    return burns.stream().anyMatch(burn -> burn.state().equals("fast"));
  }
}
