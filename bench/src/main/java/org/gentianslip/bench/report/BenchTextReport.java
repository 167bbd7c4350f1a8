package org.gentianslip.bench.report;

import java.util.List;
import java.util.Locale;
import org.gentianslip.bench.run.PolicyResult;
import org.gentianslip.bench.run.RankMetrics;
import org.gentianslip.bench.run.SimulationMetrics;
import org.gentianslip.core.id.Rank;

/**
 * Formats results as tables that fit 100 columns.
 *
 * <p>Equal results give identical text. Stateless and thread-safe.
 */
public final class BenchTextReport {

  private static final double PERCENT = 100;
  private static final double BYTES_PER_MEGABYTE = 1e6;
  private static final String SERVICE_HEADER =
      String.format(
          Locale.ROOT,
          "%-16s %-6s %6s %6s %6s %5s %5s %5s %6s %6s %6s %6s %6s",
          "policy",
          "rank",
          "ft p50",
          "p95",
          "p99",
          "bt p50",
          "p95",
          "p99",
          "good%",
          "late%",
          "early%",
          "waitd%",
          "fail%");
  private static final String FLEET_HEADER =
      String.format(
          Locale.ROOT,
          "%-16s %6s %8s %7s %6s %7s %6s %7s %7s %7s %7s",
          "policy",
          "away%",
          "link MB",
          "c/Mtok",
          "hit%",
          "retry%",
          "work%",
          "other%",
          "keepU%",
          "keepO%",
          "after%");

  private BenchTextReport() {}

  /** Returns the legend and the tables. */
  public static String of(long seed, List<PolicyResult> results) {
    var text = new StringBuilder();
    appendLine(text, "seed %d", seed);
    appendLine(
        text, "ft: first token, s; bt: between tokens, ms; good%%, late%%: whole answers in time");
    appendLine(
        text,
        "and late; early%%: refused at arrival; waitd%%: refused after a wait; fail%%: broken");
    appendLine(
        text,
        "off; c/Mtok: cost of a million tokens in time, cents; hit%%: prefix found in the cache;");
    appendLine(text, "work%%: work in time in the event window against the engines' capacity;");
    appendLine(text, "other%%: the other rank's part of that work; keepU%%,");
    appendLine(
        text, "keepO%%: least share in time of a customer outside the flood in the event window,");
    appendLine(text, "by rank; after%%: urgent in time after the event window");
    String heading = "";
    for (int i = 0; i < results.size(); i++) {
      String current = heading(results.get(i));
      if (!current.equals(heading)) {
        heading = current;
        appendGroup(
            text, heading, results.stream().filter(r -> heading(r).equals(current)).toList());
      }
    }
    return text.toString();
  }

  private static String heading(PolicyResult result) {
    return result.fleet().name()
        + " / "
        + result.scenario().name()
        + (result.scenario().withinCapacity() ? " (within capacity)" : "");
  }

  private static void appendGroup(StringBuilder text, String heading, List<PolicyResult> results) {
    appendLine(text, "");
    appendLine(text, "== %s", heading);
    appendLine(text, "%s", SERVICE_HEADER);
    for (PolicyResult result : results) {
      for (Rank rank : Rank.values()) {
        appendServiceRow(text, result, rank);
      }
    }
    appendLine(text, "%s", FLEET_HEADER);
    results.forEach(r -> appendFleetRow(text, r));
  }

  private static void appendServiceRow(StringBuilder text, PolicyResult result, Rank rank) {
    RankMetrics measured = result.metrics().measured().rank(rank);
    appendLine(
        text,
        "%-16s %-6s %6.3f %6.3f %6.3f %6.1f %5.1f %5.1f %6.2f %6.2f %6.2f %6.2f %6.2f",
        result.policyName(),
        rank.name().toLowerCase(Locale.ROOT),
        measured.firstTokenSeconds(50),
        measured.firstTokenSeconds(95),
        measured.firstTokenSeconds(99),
        measured.betweenTokensMillis(50),
        measured.betweenTokensMillis(95),
        measured.betweenTokensMillis(99),
        percentOf(measured.good(), measured),
        percentOf(measured.late(), measured),
        percentOf(measured.refusedEarly(), measured),
        percentOf(measured.refusedLate(), measured),
        percentOf(measured.failed(), measured));
  }

  private static void appendFleetRow(StringBuilder text, PolicyResult result) {
    SimulationMetrics metrics = result.metrics();
    appendLine(
        text,
        "%-16s %6.2f %8.1f %7.2f %6.1f %7.2f %6.1f %7.1f %7.2f %7.2f %7.2f",
        result.policyName(),
        PERCENT * metrics.forwardedShare(),
        metrics.linkBytes() / BYTES_PER_MEGABYTE,
        metrics.centsPerMillionTokens(),
        PERCENT * metrics.prefixHitShare(),
        PERCENT * metrics.retryShare(),
        PERCENT * result.eventGoodput(),
        PERCENT * result.otherWorkShare() / Math.max(Double.MIN_NORMAL, result.eventGoodput()),
        PERCENT * metrics.minCustomerShare(Rank.URGENT),
        PERCENT * metrics.minCustomerShare(Rank.OTHER),
        PERCENT * metrics.afterEvent().rank(Rank.URGENT).goodShare());
  }

  private static double percentOf(long count, RankMetrics result) {
    return PERCENT * count / Math.max(1, result.offered());
  }

  private static void appendLine(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values).stripTrailing()).append('\n');
  }
}
