package org.gentianslip.burn.report;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.gentianslip.burn.objective.Objective;
import org.gentianslip.burn.objective.ObjectiveType;
import org.gentianslip.burn.window.BurnRatePoint;
import org.gentianslip.burn.window.ObjectiveBurn;
import org.gentianslip.burn.window.WindowBurn;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Test;

/** Tests the formats of {@link BurnReport}. */
class BurnReportTest {

  private final BurnReport report = report(20);

  @Test
  void namesTheFastestBurnAndItsCauses() {
    assertThat(
        report.summary(),
        containsString(
            "urgent in pk-central: availability burns fastest, 20.0 times its budget;"
                + " cause: refusal (75%); region: pk-central (100%); code: no_capacity (100%)"));
  }

  @Test
  void statesThatNothingBurns() {
    assertThat(report(0).summary(), containsString("Nothing burns"));
  }

  @Test
  void fitsTheTableInto100Columns() {
    List<Integer> lengths =
        BurnTextReport.text(report).lines().skip(1).map(String::length).toList();

    assertThat(lengths, everyItem(lessThanOrEqualTo(100)));
  }

  @Test
  void writesTheBurnRateToJson() throws IOException {
    var root = new ObjectMapper().readTree(BurnJsonReport.text(report));

    assertThat(root.at("/objectives/0/windows/0/rate").asDouble(), is(20.0));
  }

  @Test
  void drawsPlotsIntoThePage() {
    assertThat(BurnHtmlReport.text(report), containsString("<polyline"));
  }

  @Test
  void linksNoExternalResourceInThePage() {
    assertThat(BurnHtmlReport.text(report), not(containsString("http")));
  }

  @Test
  void escapesTextFromMetricsAndSettings() {
    BurnReport other = new BurnReport(1, List.of(), Map.of(), List.of("<script>"));

    assertThat(BurnHtmlReport.text(other), not(containsString("<script>")));
  }

  private static BurnReport report(double score) {
    Objective objective =
        Objective.forRank(
            ObjectiveType.AVAILABILITY,
            Rank.URGENT,
            RegionId.of("pk-central"),
            0.999,
            Duration.ZERO);
    WindowBurn shorter =
        new WindowBurn(Duration.ofMinutes(5), Duration.ofMinutes(1), 200, 4, score);
    WindowBurn longer = new WindowBurn(Duration.ofHours(1), Duration.ofMinutes(1), 200, 4, score);
    ObjectiveBurn burn =
        new ObjectiveBurn(
            objective,
            List.of(shorter, longer),
            0.25,
            score,
            Map.of("refusal", 3.0, "unknown", 1.0),
            Map.of("pk-central", 4.0),
            Map.of("no_capacity", 3.0));
    return new BurnReport(
        7,
        List.of(burn),
        Map.of(
            objective.name(), List.of(new BurnRatePoint(-2_000, 3), new BurnRatePoint(0, score))),
        List.of());
  }
}
