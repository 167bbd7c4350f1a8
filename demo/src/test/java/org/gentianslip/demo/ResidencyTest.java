package org.gentianslip.demo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.load.call.Reply;
import org.gentianslip.load.work.CallSpec;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Sends a bound customer's requests under overload, to the wrong region, and after the region's
 * only engine has gone, and looks at the bytes of the link. Only the residency keeps them at home,
 * since the customer's work may else be sent to other regions. Facts are gathered once.
 */
@DisplayName("A customer that is bound to a region")
class ResidencyTest {

  private static final String HOME = "pk-north";
  private static final String OTHER = "pk-central";
  private static final String BOUND_MARK = "bound-payload";
  private static final String FREE_MARK = "free-payload";
  private static final int CALLS = 24;
  private static final int TOKENS = 40;

  private static Fleet fleet;
  private static TestCaller caller;
  private static final List<Reply> withoutEngine = new ArrayList<>();
  private static Reply atOtherRegion;
  private static long answeredAtHome;
  private static String link;
  private static String told;

  @BeforeAll
  static void overloadAndLoseTheEngine() throws IOException {
    fleet =
        SmallFleet.start(
            new EnginePlan(2, 4, 10), RegionPlan.of(OTHER, 1, 3, 0), RegionPlan.of(HOME, 1, 1, 0));
    SmallFleet.publish(fleet, "qadri.archive", values -> values.put("spillEnabled", true));
    caller = new TestCaller(Duration.ofSeconds(40));
    EntryNode home = fleet.entry("pk-north-1");
    List<CallSpec> bound = calls("north-archive", BOUND_MARK);
    final List<CompletableFuture<Reply>> free =
        caller.start(home, calls("lahore-shops", FREE_MARK));
    answeredAtHome =
        join(caller.start(home, bound)).stream().filter(Reply.Answered.class::isInstance).count();
    join(free);
    CallSpec astray = calls("north-archive", BOUND_MARK).get(0);
    atOtherRegion = caller.call(fleet.entry("pk-central-1"), astray);

    fleet.process("pk-north-engine-1").kill();
    withoutEngine.addAll(join(caller.start(home, calls("north-archive", BOUND_MARK))));
    link = fleet.captured(HOME, OTHER);
    told =
        fleet.process("pk-north-1").output()
            + fleet.process("pk-central-1").output()
            + fleet.operator("pk-north-1", "/explain/" + bound.get(0).id())
            + fleet.operator("pk-north-1", "/status");
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      caller.close();
      fleet.close();
    }
  }

  @Test
  void isAnsweredAtHome() {
    assertThat(answeredAtHome, greaterThan(0L));
  }

  @Test
  void isRefusedByAnotherRegion() {
    assertThat(((Reply.NotRun) atOtherRegion).code(), equalTo("wrong_region"));
  }

  @Test
  void isNotAnsweredElsewhereOnceItsRegionHasNoEngine() {
    assertThat(withoutEngine, everyItem(not(instanceOf(Reply.Answered.class))));
  }

  @Test
  void leavesNoByteOfItsPayloadOnTheLink() {
    assertThat(link.contains(BOUND_MARK), equalTo(false));
  }

  @Test
  void leavesNoPayloadInLogsAndDecisions() {
    assertThat(told, not(containsString(BOUND_MARK)));
  }

  @Test
  @DisplayName("shares the link with others whose payload does cross it")
  void sharesTheLink() {
    assertThat(link.contains(FREE_MARK), equalTo(true));
  }

  @Test
  @DisplayName("is looked for in all bytes of the link")
  void isLookedForInAllBytes() {
    assertThat(link.length(), lessThan(Fleet.CAPTURE_BYTES));
  }

  private static List<CallSpec> calls(String customer, String mark) {
    return Stream.generate(() -> TestCalls.marked(customer, mark, TOKENS)).limit(CALLS).toList();
  }

  private static List<Reply> join(List<CompletableFuture<Reply>> replies) {
    return replies.stream().map(CompletableFuture::join).toList();
  }
}
