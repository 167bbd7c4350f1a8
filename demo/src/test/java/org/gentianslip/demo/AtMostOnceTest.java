package org.gentianslip.demo;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.RegionPlan;
import org.gentianslip.load.call.Reply;
import org.gentianslip.load.work.CallSpec;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

/**
 * Repeats bookings through two instances while the instance that owns their tickets fails. All
 * tests share one fleet, and each leaves it in working order.
 */
@DisplayName("A booking that is repeated runs at most once")
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class AtMostOnceTest {

  private static final String SERVICE = "pk-central-booking-1";
  private static final String OWNER = "pk-central-1";
  private static final String OTHER = "pk-central-2";
  private static final int REPEATS = 10;
  private static final int TICKET_LIFETIME_MILLIS = 1_000;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private static Fleet fleet;
  private static TestCaller caller;

  private final CallSpec booking = TestCalls.booking();

  @BeforeAll
  static void start() throws IOException {
    fleet = SmallFleet.start(new EnginePlan(1, 1, 5), RegionPlan.of("pk-central", 2, 0, 1));
    caller = new TestCaller(Duration.ofSeconds(10));
  }

  @AfterEach
  void clearFault() throws IOException {
    injectFault("none", 0);
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      caller.close();
      fleet.close();
    }
  }

  @Test
  @Order(1)
  void whenItIsSentThroughBothInstancesAtOnce() throws IOException {
    String ticket = ticket();
    injectFault("delay", 300);

    join(repeat(ticket));

    assertThat(executions(), is(1L));
  }

  @Test
  @Order(2)
  void whenTheServiceClosesItsConnectionAfterExecuting() throws IOException {
    String ticket = ticket();
    injectFault("close-after", 0);
    call(OWNER, ticket);
    injectFault("none", 0);

    call(OWNER, ticket);
    call(OTHER, ticket);

    assertThat(executions(), is(1L));
  }

  @Test
  @Order(3)
  void whenTheServiceClosesItsConnectionBeforeExecuting() throws IOException {
    String ticket = ticket();
    injectFault("close-before", 0);
    call(OWNER, ticket);
    injectFault("none", 0);

    call(OWNER, ticket);
    call(OTHER, ticket);

    assertThat(executions(), lessThanOrEqualTo(1L));
  }

  @Test
  @Order(4)
  void whenItsOwnerIsSuspendedAndResumed() throws IOException, InterruptedException {
    String ticket = ticket();
    fleet.process(OWNER).suspend();
    List<CompletableFuture<Reply>> replies = repeat(ticket);
    TimeUnit.SECONDS.sleep(1);
    fleet.process(OWNER).resume();

    join(replies);

    assertThat(executions(), lessThanOrEqualTo(1L));
  }

  @Test
  @Order(5)
  void whenItsOwnerIsKilledAndRestartedAtItsAddress() throws IOException {
    String ticket = ticket();
    injectFault("delay", 1_500);
    long seenCalls = seenCalls();
    final CompletableFuture<Reply> first = startCall(OWNER, ticket);
    await().atMost(TIMEOUT).until(() -> seenCalls() > seenCalls);
    fleet.restartEntry(OWNER);
    injectFault("none", 0);

    List<Reply> later = new ArrayList<>(List.of(first.join()));
    later.add(call(OWNER, ticket));
    later.add(call(OTHER, ticket));
    await().atMost(TIMEOUT).until(this::executions, n -> n == 1);

    assertThat("number of executions", executions(), is(1L));
    assertThat(
        "no caller gets the reply not run", later, everyItem(not(instanceOf(Reply.NotRun.class))));
  }

  @Test
  @Order(6)
  void whenItsTicketExpiresWhileTheOwnerIsSuspended() throws IOException, InterruptedException {
    SmallFleet.publish(fleet, "qadri", v -> v.put("ticketLifetimeMillis", TICKET_LIFETIME_MILLIS));
    String ticket = ticket();
    fleet.process(OWNER).suspend();
    CompletableFuture<Reply> reply = startCall(OWNER, ticket);
    TimeUnit.MILLISECONDS.sleep(2L * TICKET_LIFETIME_MILLIS);
    fleet.process(OWNER).resume();

    reply.join();

    assertThat(executions(), equalTo(0L));
  }

  private String ticket() {
    return ((Reply.TicketRequired) call(OWNER, null)).ticket();
  }

  private Reply call(String entry, String ticket) {
    return caller.call(fleet.entry(entry), booking, ticket);
  }

  private CompletableFuture<Reply> startCall(String entry, String ticket) {
    EntryNode node = fleet.entry(entry);
    return CompletableFuture.supplyAsync(() -> caller.call(node, booking, ticket));
  }

  private List<CompletableFuture<Reply>> repeat(String ticket) {
    List<CompletableFuture<Reply>> replies = new ArrayList<>();
    for (int i = 0; i < REPEATS; i++) {
      replies.add(startCall(i % 2 == 0 ? OWNER : OTHER, ticket));
    }
    return replies;
  }

  private static void join(List<CompletableFuture<Reply>> replies) {
    replies.forEach(CompletableFuture::join);
  }

  private long executions() {
    try {
      return TestCaller.executions(fleet.executions(), booking);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static long seenCalls() throws IOException {
    return fleet.statistics(SERVICE).path("seen").asLong();
  }

  private static void injectFault(String type, long delayMillis) throws IOException {
    Map<String, Object> body = Map.of("fault", type, "calls", 1_000, "delayMillis", delayMillis);
    fleet.sendAdminRequest(SERVICE, "/admin/fault", body);
  }
}
