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
 * Marks backend servers as leaving under load, while the published list never changes. The scenario
 * runs once, before the tests.
 */
@DisplayName("A backend server that is leaving")
class LeavingBackendTest {

  private static final String ENGINE = "pk-north-engine-1";
  private static final String SERVICE = "pk-north-booking-1";
  private static final long MAX_DELAY_MILLIS = 5_000;
  private static final Duration LOAD_DURATION = Duration.ofSeconds(10);
  private static final long SECONDS_BEFORE_LEAVING = 2;

  private static Fleet fleet;
  private static TestCaller caller;
  private static JsonNode engineBefore;
  private static JsonNode engine;
  private static JsonNode service;
  private static LoadReport loadReport;

  @BeforeAll
  static void leaveUnderTraffic() throws IOException, InterruptedException {
    fleet = SmallFleet.start(new EnginePlan(12, 16, 5), RegionPlan.of("pk-north", 2, 2, 2));
    caller = new TestCaller(Duration.ofSeconds(20));
    final CompletableFuture<LoadReport> load =
        caller.startLoad(fleet, "pk-north", Workload.named("qadri"), 30, LOAD_DURATION);
    TimeUnit.SECONDS.sleep(SECONDS_BEFORE_LEAVING);
    engineBefore = fleet.statistics(ENGINE);
    fleet.markLeaving(ENGINE);
    fleet.markLeaving(SERVICE);
    loadReport = load.join();
    engine = fleet.statistics(ENGINE);
    service = fleet.statistics(SERVICE);
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      caller.close();
      fleet.close();
    }
  }

  @Test
  void receivedCallsBeforeLeaving() {
    assertThat(engineBefore.path("seen").asLong(), greaterThan(0L));
  }

  @Test
  void receivesNoNewModelRequestsAfterTheMaximumDelay() {
    assertThat(engine.path("lastSeenWhileLeavingMillis").asLong(), lessThan(MAX_DELAY_MILLIS));
  }

  @Test
  void receivesNoNewServiceCallsAfterTheMaximumDelay() {
    assertThat(service.path("lastSeenWhileLeavingMillis").asLong(), lessThan(MAX_DELAY_MILLIS));
  }

  @Test
  void leavesNoCallWithoutAnswer() {
    assertThat(
        loadReport.codes() + " " + loadReport.faults(),
        loadReport.answered(),
        is(loadReport.sent()));
  }
}
