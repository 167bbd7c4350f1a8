package org.gentianslip.demo;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.oneOf;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.load.call.CallOutcome;
import org.gentianslip.load.call.CallResult;
import org.gentianslip.load.report.LoadReport;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.Workload;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Silences the link of an overloaded region, heals it later and checks the behaviour in each phase.
 * All phases run once, before the tests.
 *
 * <p>The load of the region exceeds its own capacity, so it forwards work as long as the link
 * works.
 */
@DisplayName("A region that is cut off")
class CutRegionTest {

  private static final String REGION = "pk-north";
  private static final String OTHER = "pk-central";
  private static final String ENTRY = "pk-north-1";
  private static final double OVERLOAD_RATE = 12;
  private static final long DETECTION_SECONDS = 5;
  private static final Duration LOAD_DURATION = Duration.ofSeconds(6);
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private static Fleet fleet;
  private static TestCaller caller;
  private static double forwardedBefore;
  private static double forwardedWhileCut;
  private static double forwardedAfter;
  private static final Queue<CallResult> resultsWhileCut = new ConcurrentLinkedQueue<>();
  private static Map<CallOutcome, Long> outcomes;

  @BeforeAll
  static void cutAndHeal() throws IOException, InterruptedException {
    fleet =
        SmallFleet.start(
            new EnginePlan(2, 4, 10),
            RegionPlan.of(OTHER, 1, 3, 0),
            RegionPlan.of(REGION, 1, 1, 0));
    caller = new TestCaller(Duration.ofSeconds(40));
    overload(LOAD_DURATION).join();
    resultsWhileCut.clear();
    forwardedBefore = fleet.metricSum(ENTRY, "gentian_forwarded_total");

    fleet.applyLinkAction(REGION, OTHER, "silence");
    CompletableFuture<LoadReport> loadWhileCut =
        overload(LOAD_DURATION.plusSeconds(DETECTION_SECONDS));
    TimeUnit.SECONDS.sleep(DETECTION_SECONDS);
    final long detectedNanos = System.nanoTime();
    double forwardedAtDetection = fleet.metricSum(ENTRY, "gentian_forwarded_total");
    loadWhileCut.join();
    resultsWhileCut.removeIf(result -> result.dueNanos() < detectedNanos);
    forwardedWhileCut = fleet.metricSum(ENTRY, "gentian_forwarded_total") - forwardedAtDetection;

    outcomes = outcomes();
    fleet.applyLinkAction(REGION, OTHER, "heal");
    double forwardedAtHealing = fleet.metricSum(ENTRY, "gentian_forwarded_total");
    CompletableFuture<LoadReport> loadAfterHealing = overload(TIMEOUT.dividedBy(2));
    await()
        .atMost(TIMEOUT)
        .until(() -> fleet.metricSum(ENTRY, "gentian_forwarded_total") > forwardedAtHealing);
    forwardedAfter = fleet.metricSum(ENTRY, "gentian_forwarded_total") - forwardedAtHealing;
    loadAfterHealing.cancel(true);
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      caller.close();
      fleet.close();
    }
  }

  @Test
  void forwardedWorkBefore() {
    assertThat(forwardedBefore, greaterThan(0.0));
  }

  @Test
  void forwardsNoWorkOnceTheCutIsDetected() {
    assertThat(forwardedWhileCut, is(0.0));
  }

  @Test
  void answersItsCallersWithinItsOwnCapacity() {
    assertThat(outcomes.toString(), outcomes.get(CallOutcome.ANSWERED), greaterThan(0L));
  }

  @Test
  void leavesNoOutcomeUnknown() {
    assertThat(outcomes.keySet(), everyItem(is(oneOf(CallOutcome.ANSWERED, CallOutcome.NOT_RUN))));
  }

  @Test
  void forwardsWorkAgainAfterTheLinkHeals() {
    assertThat(forwardedAfter, greaterThan(0.0));
  }

  private static CompletableFuture<LoadReport> overload(Duration length) {
    Workload workload = Workload.named("qadri").only(ActionType.CHAT_WHOLE);
    return caller.startLoad(fleet, REGION, workload, OVERLOAD_RATE, length, resultsWhileCut::add);
  }

  private static Map<CallOutcome, Long> outcomes() {
    return resultsWhileCut.stream()
        .collect(Collectors.groupingBy(CallResult::outcome, Collectors.counting()));
  }
}
