package org.gentianslip.load.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats load reports as text and as JSON. Stateless and thread-safe. */
public final class LoadReportWriter {

  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
  private static final double PERCENT = 100;

  private LoadReportWriter() {}

  /** Returns the report as a JSON object. */
  public static String json(LoadReport report) {
    try {
      return JSON.writeValueAsString(report);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write the load report as JSON", e);
    }
  }

  /** Returns the report as lines of at most 100 characters, except for the lines of faults. */
  public static String text(LoadReport report) {
    List<String> lines = new ArrayList<>();
    lines.add(table(report));
    lines.add("");
    lines.add(
        String.format(
            "%-7s %-12s %9s %9s %9s %9s %9s",
            "rank", "milliseconds", "p50", "p90", "p99", "max", "count"));
    for (LoadReport.Row row : report.ranks()) {
      lines.add(latencyLine(row, "first token", row.firstToken()));
      lines.add(latencyLine(row, "token gap", row.tokenGap()));
      lines.add(latencyLine(row, "whole", row.whole()));
    }
    lines.add("");
    if (report.heldBack() > 0) {
      lines.add("The limit on calls in flight held back " + report.heldBack() + " arrivals.");
    }
    report.codes().forEach((code, count) -> lines.add("code " + code + ": " + count));
    lines.add("refusals followed: " + report.refusalsFollowed());
    lines.addAll(report.faults());
    return String.join("\n", lines);
  }

  /**
   * Returns a table by rank and region of counts, times to the first token and shares served by
   * another region.
   */
  public static String table(LoadReport report) {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            "%-7s %-12s %7s %8s %7s %7s %6s %9s %9s %7s",
            "rank",
            "region",
            "sent",
            "answered",
            "not run",
            "unknown",
            "wrong",
            "p50 first",
            "p99 first",
            "away"));
    report.rows().forEach(row -> lines.add(countsLine(row)));
    return String.join("\n", lines);
  }

  /** Returns the counts over all calls in one line. */
  public static String totals(LoadReport report) {
    return report.sent()
        + " sent, "
        + report.answered()
        + " answered, "
        + report.notRun()
        + " not run, "
        + report.unknown()
        + " unknown, "
        + report.wrong()
        + " wrong";
  }

  private static String countsLine(LoadReport.Row row) {
    return String.format(
        Locale.ROOT,
        "%-7s %-12s %7d %8d %7d %7d %6d %9.1f %9.1f %6.1f%%",
        row.rank().name().toLowerCase(Locale.ROOT),
        row.region(),
        row.sent(),
        row.answered(),
        row.notRun(),
        row.unknown(),
        row.wrong(),
        row.firstToken().p50Millis(),
        row.firstToken().p99Millis(),
        PERCENT * row.sentAwayShare());
  }

  private static String latencyLine(LoadReport.Row row, String name, LatencySummary latency) {
    return String.format(
        Locale.ROOT,
        "%-7s %-12s %9.1f %9.1f %9.1f %9.1f %9d",
        row.rank().name().toLowerCase(Locale.ROOT),
        name,
        latency.p50Millis(),
        latency.p90Millis(),
        latency.p99Millis(),
        latency.maxMillis(),
        latency.count());
  }
}
