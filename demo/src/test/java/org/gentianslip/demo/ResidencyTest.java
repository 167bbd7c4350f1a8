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
 * Sends the requests of a region-bound customer under overload, to the wrong region, and after the
 * only engine of the home region has been killed, and checks the bytes on the link between the
 * regions. Spill is enabled for the customer, so only its residency keeps the requests in the home
 * region. The scenario runs once, before the tests.
 */
@DisplayName("A customer that is bound to a region")
class ResidencyTest {

  private static final String HOME = "pk-north";
  private static final String OTHER = "pk-central";
  private static final String BOUND_MARKER = "bound-payload";
  private static final String UNBOUND_MARKER = "free-payload";
  private static final int CALLS = 24;
  private static final int TOKENS = 40;

  private static Fleet fleet;
  private static TestCaller caller;
  private static final List<Reply> repliesWithoutEngine = new ArrayList<>();
  private static Reply replyFromOtherRegion;
  private static long answeredAtHome;
  private static String linkBytes;
  private static String logsAndDecisions;

  @BeforeAll
  static void overloadAndLoseTheEngine() throws IOException {
    fleet =
        SmallFleet.start(
            new EnginePlan(2, 4, 10), RegionPlan.of(OTHER, 1, 3, 0), RegionPlan.of(HOME, 1, 1, 0));
    SmallFleet.publish(fleet, "qadri.archive", values -> values.put("spillEnabled", true));
    caller = new TestCaller(Duration.ofSeconds(40));
    EntryNode home = fleet.entry("pk-north-1");
    List<CallSpec> bound = calls("north-archive", BOUND_MARKER);
    final List<CompletableFuture<Reply>> unbound =
        caller.start(home, calls("lahore-shops", UNBOUND_MARKER));
    answeredAtHome =
        join(caller.start(home, bound)).stream().filter(Reply.Answered.class::isInstance).count();
    join(unbound);
    CallSpec misdirected = calls("north-archive", BOUND_MARKER).get(0);
    replyFromOtherRegion = caller.call(fleet.entry("pk-central-1"), misdirected);

    fleet.process("pk-north-engine-1").kill();
    repliesWithoutEngine.addAll(join(caller.start(home, calls("north-archive", BOUND_MARKER))));
    linkBytes = fleet.capturedBytes(HOME, OTHER);
    logsAndDecisions =
        fleet.process("pk-north-1").output()
            + fleet.process("pk-central-1").output()
            + fleet.operatorJson("pk-north-1", "/explain/" + bound.get(0).id())
            + fleet.operatorJson("pk-north-1", "/status");
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
    assertThat(((Reply.NotRun) replyFromOtherRegion).code(), equalTo("wrong_region"));
  }

  @Test
  void isNotAnsweredElsewhereOnceItsRegionHasNoEngine() {
    assertThat(repliesWithoutEngine, everyItem(not(instanceOf(Reply.Answered.class))));
  }

  @Test
  void leavesNoByteOfItsPayloadOnTheLink() {
    assertThat(linkBytes.contains(BOUND_MARKER), equalTo(false));
  }

  @Test
  void leavesNoPayloadInLogsAndDecisions() {
    assertThat(logsAndDecisions, not(containsString(BOUND_MARKER)));
  }

  @Test
  @DisplayName("shares the link with another customer, whose payload is sent over it")
  void sharesTheLink() {
    assertThat(linkBytes.contains(UNBOUND_MARKER), equalTo(true));
  }

  @Test
  @DisplayName("is checked against all bytes of the link")
  void isCheckedAgainstAllBytes() {
    assertThat(linkBytes.length(), lessThan(Fleet.CAPTURE_BYTES));
  }

  private static List<CallSpec> calls(String customer, String marker) {
    return Stream.generate(() -> TestCalls.marked(customer, marker, TOKENS)).limit(CALLS).toList();
  }

  private static List<Reply> join(List<CompletableFuture<Reply>> replies) {
    return replies.stream().map(CompletableFuture::join).toList();
  }
}
