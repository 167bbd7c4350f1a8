package org.gentianslip.demo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.load.report.LoadReport;
import org.gentianslip.load.work.Workload;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Lets backend servers leave under traffic while the published list lags for ever. Facts are
 * gathered once.
 */
@DisplayName("A backend server that is leaving")
class LeavingBackendTest {

  private static final String ENGINE = "pk-north-engine-1";
  private static final String SERVICE = "pk-north-booking-1";
  private static final long BOUND_MILLIS = 5_000;
  private static final Duration TRAFFIC = Duration.ofSeconds(10);
  private static final long BEFORE_SECONDS = 2;

  private static Fleet fleet;
  private static TestCaller caller;
  private static JsonNode before;
  private static JsonNode engine;
  private static JsonNode service;
  private static LoadReport traffic;

  @BeforeAll
  static void leaveUnderTraffic() throws IOException, InterruptedException {
    fleet = SmallFleet.start(new EnginePlan(12, 16, 5), RegionPlan.of("pk-north", 2, 2, 2));
    caller = new TestCaller(Duration.ofSeconds(20));
    final CompletableFuture<LoadReport> load =
        caller.startLoad(fleet, "pk-north", Workload.named("qadri"), 30, TRAFFIC);
    TimeUnit.SECONDS.sleep(BEFORE_SECONDS);
    before = fleet.stats(ENGINE);
    fleet.markLeaving(ENGINE);
    fleet.markLeaving(SERVICE);
    traffic = load.join();
    engine = fleet.stats(ENGINE);
    service = fleet.stats(SERVICE);
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      caller.close();
      fleet.close();
    }
  }

  @Test
  void gotWorkBefore() {
    assertThat(before.path("seen").asLong(), greaterThan(0L));
  }

  @Test
  void getsNoNewModelRequestsAfterTheBound() {
    assertThat(engine.path("lastSeenWhileLeavingMillis").asLong(), lessThan(BOUND_MILLIS));
  }

  @Test
  void getsNoNewServiceCallsAfterTheBound() {
    assertThat(service.path("lastSeenWhileLeavingMillis").asLong(), lessThan(BOUND_MILLIS));
  }

  @Test
  void costsNoCallItsAnswer() {
    assertThat(traffic.codes() + " " + traffic.faults(), traffic.answered(), is(traffic.sent()));
  }
}
