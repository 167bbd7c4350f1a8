package org.gentianslip.load.compare;

import java.util.Locale;
import org.gentianslip.load.report.LatencySummary;

/** Formats a comparison report as text. Stateless and thread-safe. */
public final class CompareText {

  private CompareText() {}

  /** Returns the report as lines of text. */
  public static String of(CompareReport report) {
    return String.join(
        "\n",
        String.format("%-28s %9s %9s %9s %9s", "milliseconds", "p50", "p90", "p99", "count"),
        line("first token, direct", report.directFirst()),
        line("first token, through entry", report.throughFirst()),
        line("whole stream, direct", report.directWhole()),
        line("whole stream, through entry", report.throughWhole()),
        String.format(
            Locale.ROOT,
            "The entry adds %.2f ms to the median first token, a ratio of %.3f.",
            report.addedFirstTokenMillis(),
            report.firstTokenRatio()),
        String.format(
            Locale.ROOT,
            "Brief calls a second: %.0f direct, %.0f through the entry, a ratio of %.3f.",
            report.directPerSecond(),
            report.throughPerSecond(),
            report.throughPerSecond() / report.directPerSecond()),
        report.failures() + " calls were not answered whole.");
  }

  private static String line(String name, LatencySummary latency) {
    return String.format(
        Locale.ROOT,
        "%-28s %9.2f %9.2f %9.2f %9d",
        name,
        latency.p50Millis(),
        latency.p90Millis(),
        latency.p99Millis(),
        latency.count());
  }
}
