package org.gentianslip.burn.window;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.aMapWithSize;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.gentianslip.burn.metric.CounterAccumulator;
import org.gentianslip.burn.metric.PrometheusTextParser;
import org.gentianslip.burn.objective.Objective;
import org.gentianslip.burn.objective.ObjectiveType;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests {@link SnapshotHistory} in virtual time. */
class SnapshotHistoryTest {

  private static final RegionId GRAZ = RegionId.of("graz");
  private static final RegionId WIEN = RegionId.of("wien");
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final CounterAccumulator accumulator = new CounterAccumulator();
  private final SnapshotHistory history =
      new SnapshotHistory(List.of(Duration.ofMinutes(5), Duration.ofHours(1)));

  @Nested
  class ForAvailability {

    private final Objective objective =
        Objective.forRank(ObjectiveType.AVAILABILITY, Rank.URGENT, GRAZ, 0.99, Duration.ZERO);

    @Test
    void hasRateOneIfTheBudgetIsSpentExactly() {
      addSnapshot(0, requests("graz", 0, 0));
      addSnapshot(300, requests("graz", 99, 1));

      assertThat(burn(objective).windows().get(0).rate(), closeTo(1, ROUNDING_TOLERANCE));
    }

    @Test
    void ignoresRequestsOlderThanTheWindow() {
      addSnapshot(0, requests("graz", 0, 0));
      addSnapshot(60, requests("graz", 0, 50));
      addSnapshot(400, requests("graz", 100, 50));

      assertThat(burn(objective).windows().get(0).rate(), is(0.0));
    }

    @Test
    void countsOlderRefusalsInTheLongerWindow() {
      addSnapshot(0, requests("graz", 0, 0));
      addSnapshot(60, requests("graz", 0, 50));
      addSnapshot(400, requests("graz", 50, 50));

      assertThat(burn(objective).windows().get(1).rate(), closeTo(50, ROUNDING_TOLERANCE));
    }

    @Test
    void scoresOnlyBurnInBothShortAndLongWindow() {
      addSnapshot(0, requests("graz", 0, 0));
      addSnapshot(60, requests("graz", 0, 50));
      addSnapshot(400, requests("graz", 100, 50));

      assertThat(burn(objective).state(), equalTo("ok"));
    }

    @Test
    void countsNoRequestsOfOtherRegions() {
      addSnapshot(0, requests("wien", 0, 0));
      addSnapshot(300, requests("wien", 0, 7));

      assertThat(burn(objective).windows().get(1).total(), is(0.0));
    }

    @Test
    void computesTheBudgetLeftSinceTheInstancesStarted() {
      addSnapshot(0, requests("graz", 995, 5));
      addSnapshot(300, requests("graz", 995, 5));

      assertThat(burn(objective).budgetLeft(), closeTo(0.5, ROUNDING_TOLERANCE));
    }

    @Test
    void reportsTheCodesOfRefusals() {
      addSnapshot(0, requests("graz", 0, 0));
      addSnapshot(300, requests("graz", 0, 3) + refusals("no_capacity", 3));

      assertThat(burn(objective).codes(), hasKey("no_capacity"));
    }
  }

  @Nested
  class ForFirstTokens {

    private final Objective objective =
        Objective.forRank(
            ObjectiveType.FIRST_TOKEN, Rank.URGENT, GRAZ, 0.9, Duration.ofMillis(620));

    @Test
    void countsLateFirstTokens() {
      addSnapshot(0, firstTokens(0, 0));
      addSnapshot(300, firstTokens(80, 100));

      assertThat(burn(objective).windows().get(0).bad(), closeTo(20, ROUNDING_TOLERANCE));
    }

    @Test
    void reportsLatenessAsCause() {
      addSnapshot(0, firstTokens(0, 0));
      addSnapshot(300, firstTokens(80, 100));

      assertThat(burn(objective).causes(), hasKey("lateness"));
    }
  }

  @Nested
  class ForCustomers {

    private final Objective objective = Objective.forCustomer(CustomerId.of("shoppers"), 0.99);

    @Test
    void reportsTheRegionsOfBadRequests() {
      addSnapshot(0, customerRequests(0));
      accumulator.add("e2", WIEN, PrometheusTextParser.parse(customerRequests(4)));
      addSnapshot(300, customerRequests(0));

      assertThat(burn(objective).regions(), hasKey("wien"));
    }

    @Test
    void reportsNoRegionWithoutBadRequests() {
      addSnapshot(0, customerRequests(0));
      accumulator.add("e2", WIEN, PrometheusTextParser.parse(customerRequests(4)));
      addSnapshot(300, customerRequests(0));

      assertThat(burn(objective).regions(), aMapWithSize(1));
    }
  }

  private void addSnapshot(long seconds, String text) {
    accumulator.add("e1", GRAZ, PrometheusTextParser.parse(text));
    history.add(accumulator.snapshot(TimeUnit.SECONDS.toNanos(seconds)));
  }

  private ObjectiveBurn burn(Objective objective) {
    return history.burns(List.of(objective)).get(0);
  }

  private static String requests(String region, int completed, int refused) {
    String labels = "rank=\"urgent\",kind=\"care-question\",region=\"" + region + "\"";
    return "gentian_requests_total{%s,outcome=\"completed\"} %d\n".formatted(labels, completed)
        + "gentian_requests_total{%s,outcome=\"not-run\"} %d\n".formatted(labels, refused);
  }

  private static String refusals(String code, int count) {
    return "gentian_refusals_total{rank=\"urgent\",code=\"%s\"} %d\n".formatted(code, count);
  }

  private static String firstTokens(int inTime, int total) {
    String line = "gentian_first_token_seconds_%s{rank=\"urgent\",region=\"graz\"%s} %d\n";
    return line.formatted("bucket", ",le=\"0.31\"", 0)
        + line.formatted("bucket", ",le=\"0.62\"", inTime)
        + line.formatted("bucket", ",le=\"1.0\"", total)
        + line.formatted("bucket", ",le=\"+Inf\"", total)
        + line.formatted("count", "", total);
  }

  private static String customerRequests(int refused) {
    return "gentian_customer_requests_total{customer=\"shoppers\",outcome=\"not-run\"} %d\n"
        .formatted(refused);
  }
}
