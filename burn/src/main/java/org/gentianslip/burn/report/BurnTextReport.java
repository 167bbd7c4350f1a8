package org.gentianslip.burn.report;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.gentianslip.burn.window.ObjectiveBurn;
import org.gentianslip.burn.window.WindowBurn;

/**
 * Formats a report as a table of at most 100 columns for up to three windows.
 *
 * <p>Stateless and thread-safe.
 */
public final class BurnTextReport {

  private static final double PERCENT = 100;
  private static final int MIN_PRINTED_PERCENT = -999;

  private BurnTextReport() {}

  /** Returns the report as lines of text. */
  public static String text(BurnReport report) {
    List<String> lines = new ArrayList<>();
    lines.add(report.summary());
    lines.add("");
    lines.add(header(report));
    report.burns().forEach(burn -> lines.add(row(burn)));
    lines.add("");
    lines.add("settings revision " + report.revision());
    report
        .unreachable()
        .forEach(instance -> lines.add("The metrics of " + instance + " cannot be read."));
    return String.join("\n", lines);
  }

  /** Returns the length of a window in a short form, such as {@code 5m}. */
  static String formatLength(Duration window) {
    long seconds = window.toSeconds();
    if (seconds % 3_600 == 0) {
      return seconds / 3_600 + "h";
    }
    return seconds % 60 == 0 ? seconds / 60 + "m" : seconds + "s";
  }

  private static String header(BurnReport report) {
    StringBuilder line = new StringBuilder();
    line.append(String.format("%-5s%-40s%9s", "state", " objective", "target"));
    if (!report.burns().isEmpty()) {
      for (WindowBurn window : report.burns().get(0).windows()) {
        line.append(String.format("%9s", "x" + formatLength(window.window())));
      }
    }
    return line.append(String.format("%9s", "left")).append("  requests").toString();
  }

  private static String row(ObjectiveBurn burn) {
    StringBuilder line = new StringBuilder();
    line.append(
        String.format(
            Locale.ROOT,
            "%-5s %-39s%8.2f%%",
            burn.state(),
            burn.objective().name(),
            PERCENT * burn.objective().share()));
    for (WindowBurn window : burn.windows()) {
      line.append(String.format(Locale.ROOT, "%9.2f", window.rate()));
    }
    double total = burn.windows().get(burn.windows().size() - 1).total();
    line.append(String.format("%9s", formatBudgetLeft(burn)));
    return line.append(String.format(Locale.ROOT, "%10.0f", total)).toString();
  }

  private static String formatBudgetLeft(ObjectiveBurn burn) {
    double percent = PERCENT * burn.budgetLeft();
    return percent < MIN_PRINTED_PERCENT
        ? "<" + MIN_PRINTED_PERCENT + "%"
        : String.format(Locale.ROOT, "%.1f%%", percent);
  }
}
