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
 * Lets the link of an overloaded region go silent and heals it. Facts are gathered once.
 *
 * <p>The region's callers ask for more than it can do, so that it sends work away while it can.
 */
@DisplayName("A region that is cut off")
class CutRegionTest {

  private static final String REGION = "pk-north";
  private static final String OTHER = "pk-central";
  private static final String ENTRY = "pk-north-1";
  private static final double OVERLOAD_RATE = 12;
  private static final long NOTICE_SECONDS = 5;
  private static final Duration TRAFFIC = Duration.ofSeconds(6);
  private static final Duration PATIENCE = Duration.ofSeconds(30);

  private static Fleet fleet;
  private static TestCaller caller;
  private static double sentAwayBefore;
  private static double sentAwayWhileCut;
  private static double sentAwayAfter;
  private static final Queue<CallResult> whileCut = new ConcurrentLinkedQueue<>();
  private static Map<CallOutcome, Long> outcomes;

  @BeforeAll
  static void cutAndHeal() throws IOException, InterruptedException {
    fleet =
        SmallFleet.start(
            new EnginePlan(2, 4, 10),
            RegionPlan.of(OTHER, 1, 3, 0),
            RegionPlan.of(REGION, 1, 1, 0));
    caller = new TestCaller(Duration.ofSeconds(40));
    overload(TRAFFIC).join();
    whileCut.clear();
    sentAwayBefore = fleet.metric(ENTRY, "gentian_forwarded_total");

    fleet.link(REGION, OTHER, "silence");
    CompletableFuture<LoadReport> cut = overload(TRAFFIC.plusSeconds(NOTICE_SECONDS));
    TimeUnit.SECONDS.sleep(NOTICE_SECONDS);
    final long noticedNanos = System.nanoTime();
    double noticed = fleet.metric(ENTRY, "gentian_forwarded_total");
    cut.join();
    whileCut.removeIf(result -> result.dueNanos() < noticedNanos);
    sentAwayWhileCut = fleet.metric(ENTRY, "gentian_forwarded_total") - noticed;

    outcomes = outcomes();
    fleet.link(REGION, OTHER, "heal");
    double healed = fleet.metric(ENTRY, "gentian_forwarded_total");
    CompletableFuture<LoadReport> after = overload(PATIENCE.dividedBy(2));
    await().atMost(PATIENCE).until(() -> fleet.metric(ENTRY, "gentian_forwarded_total") > healed);
    sentAwayAfter = fleet.metric(ENTRY, "gentian_forwarded_total") - healed;
    after.cancel(true);
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      caller.close();
      fleet.close();
    }
  }

  @Test
  void sentWorkAwayBefore() {
    assertThat(sentAwayBefore, greaterThan(0.0));
  }

  @Test
  void sendsNoWorkAwayOnceItHasNoticed() {
    assertThat(sentAwayWhileCut, is(0.0));
  }

  @Test
  void answersItsCallersByItsOwnCapacity() {
    assertThat(outcomes.toString(), outcomes.get(CallOutcome.ANSWERED), greaterThan(0L));
  }

  @Test
  void leavesNoCallerWithoutKnowledge() {
    assertThat(outcomes.keySet(), everyItem(is(oneOf(CallOutcome.ANSWERED, CallOutcome.NOT_RUN))));
  }

  @Test
  void sendsWorkAwayAgainAfterTheLinkHeals() {
    assertThat(sentAwayAfter, greaterThan(0.0));
  }

  private static CompletableFuture<LoadReport> overload(Duration length) {
    Workload workload = Workload.named("qadri").only(ActionType.CHAT_WHOLE);
    return caller.startLoad(fleet, REGION, workload, OVERLOAD_RATE, length, whileCut::add);
  }

  private static Map<CallOutcome, Long> outcomes() {
    return whileCut.stream()
        .collect(Collectors.groupingBy(CallResult::outcome, Collectors.counting()));
  }
}
