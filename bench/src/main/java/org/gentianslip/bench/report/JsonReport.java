package org.gentianslip.bench.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.gentianslip.bench.run.BenchResult;
import org.gentianslip.bench.run.RankResult;
import org.gentianslip.bench.run.RunResult;
import org.gentianslip.core.id.Rank;

/**
 * Prints results as JSON.
 *
 * <p>Equal results give equal text. Stateless and safe for use by several threads.
 */
public final class JsonReport {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private JsonReport() {}

  /** Returns the text. */
  public static String of(long seed, List<BenchResult> results) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("seed", seed);
    var list = root.putArray("results");
    results.forEach(r -> write(r, list.addObject()));
    try {
      return MAPPER.writeValueAsString(root) + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("The results can't be written as JSON", e);
    }
  }

  private static void write(BenchResult result, ObjectNode node) {
    RunResult run = result.run();
    node.put("fleet", result.fleet().name());
    node.put("scenario", result.scenario().name());
    node.put("withinCapacity", result.scenario().withinCapacity());
    node.put("policy", result.contender());
    node.put("sentAwayShare", run.sentAwayShare());
    node.put("linkBytes", run.linkBytes());
    node.put("centsPerMillionTokens", run.centsPerMillionTokens());
    node.put("prefixHitShare", run.prefixHitShare());
    node.put("retryShare", run.retryShare());
    node.put("eventGoodput", result.eventGoodput());
    ObjectNode ranks = node.putObject("ranks");
    for (Rank rank : Rank.values()) {
      write(run.measured().rank(rank), ranks.putObject(rank.name().toLowerCase(Locale.ROOT)));
    }
    ObjectNode customers = node.putObject("customerSharesInEvent");
    run.customerShares().forEach(customers::put);
  }

  private static void write(RankResult rank, ObjectNode node) {
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
