package org.gentianslip.demo;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.demo.fleet.ServiceExecution;
import org.gentianslip.load.call.EntryAddress;
import org.gentianslip.load.call.Reply;
import org.gentianslip.load.report.LoadReport;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.CallSpec;
import org.gentianslip.load.work.Workload;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Drains an instance with calls in flight under continuous load. The shutdown runs once, before the
 * tests.
 */
@DisplayName("A graceful shutdown")
class GracefulShutdownTest {

  private static final String SERVICE = "pk-central-booking-1";
  private static final String ENGINE = "pk-central-engine-1";
  private static final int STREAMS = 6;
  private static final int BOOKINGS = 3;
  private static final int TOKENS = 150;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private static Fleet fleet;
  private static TestCaller caller;
  private static final List<Boolean> complete = new ArrayList<>();
  private static final List<Long> executions = new ArrayList<>();
  private static LoadReport loadReport;
  private static Reply refusal;
  private static boolean ended;
  private static int exitCode;

  @BeforeAll
  static void drainWithWorkInFlight() throws IOException {
    fleet = SmallFleet.start(new EnginePlan(24, 16, 20), RegionPlan.of("pk-central", 2, 1, 1));
    caller = new TestCaller(Duration.ofSeconds(30));
    EntryNode leaving = fleet.entry("pk-central-1");
    final CompletableFuture<LoadReport> load =
        caller.startLoad(
            fleet,
            "pk-central",
            Workload.named("qadri").only(ActionType.CHAT_WHOLE, ActionType.SERVICE_READ),
            10,
            Duration.ofSeconds(5));
    List<CallSpec> streams =
        Stream.generate(() -> TestCalls.stream(TOKENS)).limit(STREAMS).toList();
    List<CallSpec> bookings = Stream.generate(TestCalls::booking).limit(BOOKINGS).toList();
    Map<String, Object> delayFault = Map.of("fault", "delay", "calls", 1_000, "delayMillis", 2_000);
    fleet.sendAdminRequest(SERVICE, "/admin/fault", delayFault);
    List<CompletableFuture<Reply>> replies = caller.start(leaving, streams);
    replies.addAll(caller.start(leaving, bookings));
    await().atMost(TIMEOUT).until(() -> startedStreamsOnceBooked() >= STREAMS);

    fleet.drain("pk-central-1");
    refusal = caller.call(leaving, TestCalls.stream(1));

    List<CallSpec> specs = Stream.concat(streams.stream(), bookings.stream()).toList();
    for (int i = 0; i < specs.size(); i++) {
      complete.add(TestCaller.isComplete(replies.get(i).join(), specs.get(i)));
    }
    loadReport = load.join();
    ended = fleet.process("pk-central-1").awaitEnd(TIMEOUT.toSeconds());
    exitCode = ended ? fleet.process("pk-central-1").exitCode() : -1;
    List<ServiceExecution> all = fleet.executions();
    bookings.forEach(spec -> executions.add(TestCaller.executions(all, spec)));
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      caller.close();
      fleet.close();
    }
  }

  @Test
  void completesEveryStreamAndBookingInFlight() {
    assertThat(complete, everyItem(is(true)));
  }

  @Test
  void executesEachBookingInFlightOnce() {
    assertThat(executions, everyItem(is(1L)));
  }

  @Test
  void refusesNewCallsAsNotRun() {
    assertThat(refusal, instanceOf(Reply.NotRun.class));
  }

  @Test
  void namesTheOtherInstanceInItsRefusal() {
    List<InstanceId> named =
        ((Reply.NotRun) refusal).entries().stream().map(EntryAddress::id).toList();

    assertThat(named, hasItem(InstanceId.of("pk-central-2")));
  }

  @Test
  void losesNoCallOfTheLoad() {
    assertThat(loadReport.faults().toString(), loadReport.answered(), is(loadReport.sent()));
  }

  @Test
  void endsTheProcess() {
    assertThat(ended, is(true));
  }

  @Test
  void exitsWithCodeZero() {
    assertThat(exitCode, is(0));
  }

  private static long startedStreamsOnceBooked() throws IOException {
    long startedStreams = fleet.statistics(ENGINE).path("started").asLong();
    long seenBookings = fleet.statistics(SERVICE).path("seen").asLong();
    return seenBookings >= BOOKINGS ? startedStreams : 0;
  }
}
