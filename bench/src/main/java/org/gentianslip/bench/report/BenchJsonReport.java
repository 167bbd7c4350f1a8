package org.gentianslip.bench.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.gentianslip.bench.run.PolicyResult;
import org.gentianslip.bench.run.RankMetrics;
import org.gentianslip.bench.run.SimulationMetrics;
import org.gentianslip.core.id.Rank;

/**
 * Formats results as JSON.
 *
 * <p>Equal results give identical text. Stateless and thread-safe.
 */
public final class BenchJsonReport {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private BenchJsonReport() {}

  /** Returns the results as the text of a JSON object. */
  public static String of(long seed, List<PolicyResult> results) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("seed", seed);
    var list = root.putArray("results");
    results.forEach(r -> write(r, list.addObject()));
    try {
      return MAPPER.writeValueAsString(root) + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write the results as JSON", e);
    }
  }

  private static void write(PolicyResult result, ObjectNode node) {
    SimulationMetrics metrics = result.metrics();
    node.put("fleet", result.fleet().name());
    node.put("scenario", result.scenario().name());
    node.put("withinCapacity", result.scenario().withinCapacity());
    node.put("policy", result.policyName());
    node.put("sentAwayShare", metrics.forwardedShare());
    node.put("linkBytes", metrics.linkBytes());
    node.put("centsPerMillionTokens", metrics.centsPerMillionTokens());
    node.put("prefixHitShare", metrics.prefixHitShare());
    node.put("retryShare", metrics.retryShare());
    node.put("eventGoodput", result.eventGoodput());
    ObjectNode ranks = node.putObject("ranks");
    for (Rank rank : Rank.values()) {
      write(metrics.measured().rank(rank), ranks.putObject(rank.name().toLowerCase(Locale.ROOT)));
    }
    ObjectNode customers = node.putObject("customerSharesInEvent");
    metrics.customerShares().forEach(customers::put);
  }

  private static void write(RankMetrics rank, ObjectNode node) {
    node.put("offered", rank.offered());
    node.put("good", rank.good());
    node.put("late", rank.late());
    node.put("refusedEarly", rank.refusedEarly());
    node.put("refusedLate", rank.refusedLate());
    node.put("failed", rank.failed());
    for (int percentile : new int[] {50, 95, 99}) {
      node.put("firstTokenSecondsP" + percentile, rank.firstTokenSeconds(percentile));
      node.put("betweenTokensMillisP" + percentile, rank.betweenTokensMillis(percentile));
    }
  }
}
