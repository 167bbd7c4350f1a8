package org.gentianslip.burn.report;

import java.util.Locale;
import java.util.Map;
import org.gentianslip.burn.window.ObjectiveBurn;

/** Describes the main causes of a burn in a sentence. Stateless and thread-safe. */
final class BurnDescription {

  private static final double PERCENT = 100;

  private BurnDescription() {}

  static String describe(ObjectiveBurn burn) {
    if (burn.score() <= 0) {
      return "Nothing burns a budget.";
    }
    double badCount = burn.causes().values().stream().mapToDouble(Double::doubleValue).sum();
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "%s burns fastest, %.1f times its budget",
            burn.objective().name(),
            burn.score()));
    text.append("; cause: ").append(largestShare(burn.causes(), badCount));
    text.append("; region: ").append(largestShare(burn.regions(), badCount));
    boolean hasRefusals = burn.causes().keySet().stream().anyMatch(c -> !c.equals("lateness"));
    if (hasRefusals && !burn.codes().isEmpty()) {
      double codeCount = burn.codes().values().stream().mapToDouble(Double::doubleValue).sum();
      text.append("; code: ").append(largestShare(burn.codes(), codeCount));
    }
    return text.append('.').toString();
  }

  private static String largestShare(Map<String, Double> counts, double total) {
    Map.Entry<String, Double> largest = null;
    for (Map.Entry<String, Double> entry : counts.entrySet()) {
      if (largest == null || entry.getValue() > largest.getValue()) {
        largest = entry;
      }
    }
    return largest == null
        ? "none"
        : String.format(
            Locale.ROOT, "%s (%.0f%%)", largest.getKey(), PERCENT * largest.getValue() / total);
  }
}
