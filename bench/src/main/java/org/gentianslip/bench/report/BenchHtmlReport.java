package org.gentianslip.bench.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.gentianslip.bench.run.PolicyResult;
import org.gentianslip.bench.run.SimulationMetrics;
import org.gentianslip.bench.run.TimelineBin;
import org.gentianslip.core.id.Rank;

/**
 * Formats results as a self-contained HTML page with plots over time.
 *
 * <p>Equal results give identical text. Stateless and thread-safe.
 */
public final class BenchHtmlReport {

  private static final double PERCENT = 100;
  private static final String STYLE =
      "body{font:14px sans-serif;margin:24px;max-width:1100px}svg{margin:4px}"
          + "pre{font-size:11px;overflow-x:auto}text{font:11px sans-serif}"
          + ".t{font-weight:bold}.f{fill:none;stroke:#ccc}.l{fill:none;stroke-width:1.6}";

  private BenchHtmlReport() {}

  /** Returns the page. */
  public static String of(long seed, List<PolicyResult> results) {
    var html = new StringBuilder();
    html.append("<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n");
    html.append("<title>Policy bench</title>\n<style>").append(STYLE).append("</style>\n");
    html.append("<h1>Policy bench, seed ").append(seed).append("</h1>\n");
    String heading = "";
    for (PolicyResult result : results) {
      String current = result.fleet().name() + " / " + result.scenario().name();
      if (!current.equals(heading)) {
        heading = current;
        html.append("<h2>").append(heading).append("</h2>\n");
        html.append(plots(results.stream().filter(r -> isSameCase(r, result)).toList()));
      }
    }
    html.append("<h2>Table</h2>\n<pre>").append(escape(BenchTextReport.of(seed, results)));
    return html.append("</pre>\n</html>\n").toString();
  }

  private static boolean isSameCase(PolicyResult a, PolicyResult b) {
    return a.fleet().equals(b.fleet()) && a.scenario().equals(b.scenario());
  }

  private static String plots(List<PolicyResult> results) {
    var html = new StringBuilder();
    for (Rank rank : Rank.values()) {
      String name = rank.name().toLowerCase(Locale.ROOT);
      TimelinePlot latency =
          plot(name + ": first token p95, s", results, b -> b.rank(rank).firstTokenSeconds());
      TimelinePlot service =
          plot(
              name + ": whole answers in time, %",
              results,
              b -> PERCENT * b.rank(rank).goodShare());
      if (rank == Rank.URGENT) {
        html.append(latency.legend());
      }
      html.append(latency.toSvg()).append(service.toSvg());
    }
    return html.toString();
  }

  private static TimelinePlot plot(
      String title, List<PolicyResult> results, ToDoubleFunction<TimelineBin> value) {
    List<TimelinePlot.Line> lines = new ArrayList<>();
    for (PolicyResult result : results) {
      List<Double> values = new ArrayList<>();
      result.metrics().timeline().forEach(b -> values.add(value.applyAsDouble(b)));
      lines.add(new TimelinePlot.Line(result.policyName(), values));
    }
    return new TimelinePlot(title, SimulationMetrics.BIN_SECONDS, lines);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
