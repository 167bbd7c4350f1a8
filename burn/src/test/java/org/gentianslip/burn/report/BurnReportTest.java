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
import org.gentianslip.burn.window.ObjectiveBurn;
import org.gentianslip.burn.window.RatePoint;
import org.gentianslip.burn.window.WindowBurn;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Test;

/** Tests the forms of {@link BurnReport}. Used by one thread. */
class BurnReportTest {

  private final BurnReport report = report(20);

  @Test
  void namesTheFastestBurnAndItsCause() {
    assertThat(
        report.summary(),
        containsString(
            "urgent in pk-central: availability burns fastest, 20.0 times its budget;"
                + " cause: refusal (75%); region: pk-central (100%); code: no_capacity (100%)"));
  }

  @Test
  void saysSoIfNothingBurns() {
    assertThat(report(0).summary(), containsString("Nothing burns"));
  }

  @Test
  void fitsItsTableInto100Columns() {
    List<Integer> lengths = TextReport.text(report).lines().skip(1).map(String::length).toList();

    assertThat(lengths, everyItem(lessThanOrEqualTo(100)));
  }

  @Test
  void givesTheRateInJson() throws IOException {
    var root = new ObjectMapper().readTree(JsonReport.text(report));

    assertThat(root.at("/objectives/0/windows/0/rate").asDouble(), is(20.0));
  }

  @Test
  void drawsPlotsIntoThePage() {
    assertThat(HtmlReport.text(report), containsString("<polyline"));
  }

  @Test
  void loadsNothingIntoThePage() {
    assertThat(HtmlReport.text(report), not(containsString("http")));
  }

  @Test
  void escapesTextFromOutside() {
    BurnReport other = new BurnReport(1, List.of(), Map.of(), List.of("<script>"));

    assertThat(HtmlReport.text(other), not(containsString("<script>")));
  }

  private static BurnReport report(double score) {
    Objective objective =
        Objective.ofRank(
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
        Map.of(objective.name(), List.of(new RatePoint(-2_000, 3), new RatePoint(0, score))),
        List.of());
  }
}
