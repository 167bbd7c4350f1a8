package org.gentianslip.burn.report;

import java.util.Locale;
import java.util.Map;
import org.gentianslip.burn.window.ObjectiveBurn;

/** Tells in a sentence what drove a burn. Stateless and safe for use by several threads. */
final class Driver {

  private static final double PERCENT = 100;

  private Driver() {}

  static String sentence(ObjectiveBurn burn) {
    if (burn.score() <= 0) {
      return "Nothing burns a budget.";
    }
    double bad = burn.causes().values().stream().mapToDouble(Double::doubleValue).sum();
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "%s burns fastest, %.1f times its budget",
            burn.objective().name(),
            burn.score()));
    text.append("; cause: ").append(greatest(burn.causes(), bad));
    text.append("; region: ").append(greatest(burn.regions(), bad));
    boolean refused = burn.causes().keySet().stream().anyMatch(c -> !c.equals("lateness"));
    if (refused && !burn.codes().isEmpty()) {
      double codes = burn.codes().values().stream().mapToDouble(Double::doubleValue).sum();
      text.append("; code: ").append(greatest(burn.codes(), codes));
    }
    return text.append('.').toString();
  }

  private static String greatest(Map<String, Double> counts, double total) {
    Map.Entry<String, Double> best = null;
    for (Map.Entry<String, Double> entry : counts.entrySet()) {
      if (best == null || entry.getValue() > best.getValue()) {
        best = entry;
      }
    }
    return best == null
        ? "none"
        : String.format(
            Locale.ROOT, "%s (%.0f%%)", best.getKey(), PERCENT * best.getValue() / total);
  }
}
