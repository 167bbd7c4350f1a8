package org.gentianslip.bench.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.gentianslip.bench.run.BenchResult;
import org.gentianslip.bench.run.RunResult;
import org.gentianslip.bench.run.TimelineBin;
import org.gentianslip.core.id.Rank;

/**
 * Prints results as one HTML page with plots over time, which needs no other file.
 *
 * <p>Equal results give equal text. Stateless and safe for use by several threads.
 */
public final class HtmlReport {

  private static final double PERCENT = 100;
  private static final String STYLE =
      "body{font:14px sans-serif;margin:24px;max-width:1100px}svg{margin:4px}"
          + "pre{font-size:11px;overflow-x:auto}text{font:11px sans-serif}"
          + ".t{font-weight:bold}.f{fill:none;stroke:#ccc}.l{fill:none;stroke-width:1.6}";

  private HtmlReport() {}

  /** Returns the page. */
  public static String of(long seed, List<BenchResult> results) {
    var html = new StringBuilder();
    html.append("<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n");
    html.append("<title>Policy bench</title>\n<style>").append(STYLE).append("</style>\n");
    html.append("<h1>Policy bench, seed ").append(seed).append("</h1>\n");
    String heading = "";
    for (BenchResult result : results) {
      String current = result.fleet().name() + " / " + result.scenario().name();
      if (!current.equals(heading)) {
        heading = current;
        html.append("<h2>").append(heading).append("</h2>\n");
        html.append(plots(results.stream().filter(r -> isSame(r, result)).toList()));
      }
    }
    html.append("<h2>Table</h2>\n<pre>").append(escape(TextReport.of(seed, results)));
    return html.append("</pre>\n</html>\n").toString();
  }

  private static boolean isSame(BenchResult one, BenchResult two) {
    return one.fleet().equals(two.fleet()) && one.scenario().equals(two.scenario());
  }

  private static String plots(List<BenchResult> results) {
    var html = new StringBuilder();
    for (Rank rank : Rank.values()) {
      String name = rank.name().toLowerCase(Locale.ROOT);
      Plot latency =
          plot(name + ": first token p95, s", results, p -> p.rank(rank).firstTokenSeconds());
      Plot service =
          plot(
              name + ": whole answers in time, %",
              results,
              p -> PERCENT * p.rank(rank).goodShare());
      if (rank == Rank.URGENT) {
        html.append(latency.legend());
      }
      html.append(latency.toSvg()).append(service.toSvg());
    }
    return html.toString();
  }

  private static Plot plot(
      String title, List<BenchResult> results, ToDoubleFunction<TimelineBin> value) {
    List<Plot.Line> lines = new ArrayList<>();
    for (BenchResult result : results) {
      List<Double> values = new ArrayList<>();
      result.run().timeline().forEach(p -> values.add(value.applyAsDouble(p)));
      lines.add(new Plot.Line(result.contender(), values));
    }
    return new Plot(title, RunResult.BIN_SECONDS, lines);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
