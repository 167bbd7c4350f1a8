package org.gentianslip.burn.report;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.gentianslip.burn.window.ObjectiveBurn;
import org.gentianslip.burn.window.WindowBurn;

/**
 * Formats a report as a self-contained HTML page.
 *
 * <p>All text from settings and metrics is escaped. Stateless and thread-safe.
 */
public final class BurnHtmlReport {

  private static final double PERCENT = 100;
  private static final String STYLE =
      "body{font:14px sans-serif;margin:2em;max-width:60em}"
          + "table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right}"
          + "th:first-child,td:first-child{text-align:left}"
          + ".fast{background:#f6c6c6}.slow{background:#f6ecc0}";

  private BurnHtmlReport() {}

  /** Returns the page. */
  public static String text(BurnReport report) {
    StringBuilder page = new StringBuilder();
    page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.append("<title>Service-level burn</title><style>").append(STYLE).append("</style></head>");
    page.append("<body>\n<h1>Service-level burn</h1>\n<p>").append(escape(report.summary()));
    page.append("</p>\n<p>Settings revision ").append(report.revision()).append("</p>\n");
    for (String instance : report.unreachable()) {
      page.append("<p>The metrics of ").append(escape(instance)).append(" cannot be read.</p>\n");
    }
    appendTable(page, report.burns());
    report.burns().forEach(burn -> appendPlot(page, report, burn));
    return page.append("</body></html>\n").toString();
  }

  static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }

  private static void appendTable(StringBuilder page, List<ObjectiveBurn> burns) {
    if (burns.isEmpty()) {
      return;
    }
    page.append("<table>\n<tr><th>Objective</th><th>Target</th>");
    for (WindowBurn window : burns.get(0).windows()) {
      page.append("<th>Burn over ")
          .append(BurnTextReport.formatLength(window.window()))
          .append("</th>");
    }
    page.append("<th>Budget left</th><th>State</th></tr>\n");
    burns.forEach(burn -> appendRow(page, burn));
    page.append("</table>\n");
  }

  private static void appendRow(StringBuilder page, ObjectiveBurn burn) {
    page.append("<tr class=\"").append(burn.state()).append("\"><td>");
    page.append(escape(burn.objective().name())).append("</td><td>");
    page.append(percent(burn.objective().share())).append("</td>");
    for (WindowBurn window : burn.windows()) {
      page.append("<td>").append(String.format(Locale.ROOT, "%.2f", window.rate()));
      page.append("</td>");
    }
    page.append("<td>").append(percent(burn.budgetLeft())).append("</td><td>");
    page.append(burn.state()).append("</td></tr>\n");
  }

  private static void appendPlot(StringBuilder page, BurnReport report, ObjectiveBurn burn) {
    page.append("<h2>").append(escape(burn.objective().name())).append("</h2>\n");
    page.append(BurnRatePlot.draw(report.rates().getOrDefault(burn.objective().name(), List.of())));
    page.append("<p>");
    appendCounts(page, "causes", burn.causes());
    appendCounts(page, "regions", burn.regions());
    appendCounts(page, "codes", burn.codes());
    page.append("</p>\n");
  }

  private static void appendCounts(StringBuilder page, String name, Map<String, Double> counts) {
    if (counts.isEmpty()) {
      return;
    }
    page.append(name).append(": ");
    new TreeMap<>(counts)
        .forEach(
            (key, count) ->
                page.append(escape(key)).append(String.format(Locale.ROOT, " %.0f ", count)));
    page.append("<br>");
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f%%", PERCENT * share);
  }
}
