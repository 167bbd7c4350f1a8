package org.gentianslip.entry.service;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.gentianslip.entry.testing.CutRelay.Cut;
import org.gentianslip.entry.testing.ServiceFleet;
import org.gentianslip.entry.testing.ServiceFleet.Told;
import org.gentianslip.standin.service.FaultType;
import org.gentianslip.standin.service.ServiceFault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the outcomes that callers of two instances received with the executions that the service
 * recorded.
 */
@DisplayName("A call that is not idempotent")
class AtMostOnceTest {

  private static final int DEADLINE_MILLIS = 400;
  private static final int STEP_BYTES = 23;
  private static final int OWNER = 0;
  private static final int OTHER = 1;
  private static ServiceFleet fleet;

  @BeforeAll
  static void start() throws IOException {
    fleet = new ServiceFleet(2, DEADLINE_MILLIS);
  }

  @AfterAll
  static void stop() throws IOException {
    fleet.close();
  }

  private static String ticket(String call) throws IOException {
    Told first = fleet.call(OWNER, call, null);
    assertThat(first.toString(), first.status(), is(428));
    return first.ticket();
  }

  /** Makes a call, repeats it through both instances, and returns all responses to callers. */
  private static List<Told> repeat(String call) throws IOException {
    String ticket = ticket(call);
    List<Told> told = new ArrayList<>();
    told.add(fleet.call(OWNER, call, ticket));
    told.add(fleet.call(OTHER, call, ticket));
    told.add(fleet.call(OWNER, call, ticket));
    return told;
  }

  private static void checkTold(String what, String call, List<Told> told) {
    long runs = fleet.executions(call);
    assertThat(what, runs, lessThanOrEqualTo(1L));
    for (Told t : told) {
      if (t.outcome().equals("not-run")) {
        assertThat(what + " " + told, runs, is(0L));
      }
      if (t.outcome().equals("completed")) {
        assertThat(what + " " + told, runs, is(1L));
      }
    }
  }

  @Test
  void isAnsweredWithTicketAtFirst() throws IOException {
    String call = fleet.newCall();
    ticket(call);
    assertThat(fleet.executions(call), is(0L));
  }

  @Test
  void runsOnceThroughBothInstances() throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    String call = fleet.newCall();
    List<Told> told = repeat(call);
    assertThat(fleet.executions(call), is(1L));
    assertThat(told.stream().map(Told::outcome).toList(), everyItem(is("completed")));
  }

  @Test
  void runsThroughAnInstanceThatPassesItToTheOwner() throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    String call = fleet.newCall();
    Told told = fleet.call(OTHER, call, ticket(call));
    assertThat(told.toString(), told.status(), is(200));
    assertThat(fleet.executions(call), is(1L));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void agreesWithWhatCallersWereToldWhereverTheConnectionBreaks(boolean silent) throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    repeat(fleet.newCall());
    final long request = fleet.relay.requestBytes.get();
    final long answer = fleet.relay.answerBytes.get();
    Map<String, List<Told>> all = new HashMap<>();
    for (long at = 0; at <= request + STEP_BYTES; at += STEP_BYTES) {
      breakAt(new Cut(at, Long.MAX_VALUE, silent), all);
    }
    for (long at = 0; at <= answer + STEP_BYTES; at += STEP_BYTES) {
      breakAt(new Cut(Long.MAX_VALUE, at, silent), all);
    }
    fleet.relay.cutAt(Cut.NONE);
    all.forEach((call, told) -> checkTold("silent " + silent, call, told));
    report(silent, all);
  }

  private static void breakAt(Cut cut, Map<String, List<Told>> all) throws IOException {
    fleet.relay.cutAt(cut);
    String call = fleet.newCall();
    all.put(call, repeat(call));
  }

  private static void report(boolean silent, Map<String, List<Told>> all) {
    long unknown = all.values().stream().filter(t -> isUnknown(t.get(0))).count();
    long neverRan =
        all.entrySet().stream()
            .filter(e -> isUnknown(e.getValue().get(0)) && fleet.executions(e.getKey()) == 0)
            .count();
    System.out.printf(
        "cut points %d, silent %s: %d unknown, of which %d never ran%n",
        all.size(), silent, unknown, neverRan);
  }

  private static boolean isUnknown(Told told) {
    return told.outcome().equals("unknown");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "REFUSE",
        "CLOSE_BEFORE",
        "CLOSE_AFTER",
        "HANG_BEFORE",
        "HANG_AFTER",
        "FAIL_AFTER"
      })
  void agreesWithWhatCallersWereToldUnderFaultsOfTheService(String fault) throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    fleet.service.setFault(ServiceFault.always(FaultType.valueOf(fault)));
    String call = fleet.newCall();
    List<Told> told = repeat(call);
    fleet.service.setFault(ServiceFault.NONE);
    checkTold(fault, call, told);
    boolean refused = fault.equals("REFUSE");
    assertThat(told.get(0).outcome(), is(refused ? "not-run" : "unknown"));
  }

  @Test
  void runsUnderNewTicketAfterItWasRefused() throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    String call = fleet.newCall();
    fleet.service.setFault(ServiceFault.once(FaultType.REFUSE));
    Told refused = fleet.call(OWNER, call, ticket(call));
    Told told = fleet.call(OTHER, call, refused.ticket());
    assertThat(told.toString(), told.outcome(), is("completed"));
    assertThat(fleet.executions(call), is(1L));
  }

  @Test
  void runsOnceThoughRepeatedThroughBothInstancesAtOnce() throws Exception {
    fleet.relay.cutAt(Cut.NONE);
    fleet.service.setFault(new ServiceFault(FaultType.DELAY, Long.MAX_VALUE, 50));
    String call = fleet.newCall();
    String ticket = ticket(call);
    ExecutorService pool = Executors.newFixedThreadPool(16);
    List<Callable<Told>> copies = new ArrayList<>();
    for (int i = 0; i < 64; i++) {
      int entry = i % 2;
      copies.add(() -> fleet.call(entry, call, ticket));
    }
    List<Told> told = new ArrayList<>();
    for (Future<Told> f : pool.invokeAll(copies)) {
      told.add(f.get());
    }
    pool.shutdownNow();
    fleet.service.setFault(ServiceFault.NONE);
    assertThat(fleet.executions(call), is(1L));
    assertThat(told.stream().map(Told::outcome).toList(), everyItem(is(not("not-run"))));
  }

  @Test
  void isNeverRunBySuccessorOfTheOwner() throws IOException {
    try (ServiceFleet replaced = new ServiceFleet(2, DEADLINE_MILLIS)) {
      String ticketOfRan = replaced.call(OWNER, "ran", null).ticket();
      final String ticketOfUnused = replaced.call(OWNER, "unused", null).ticket();
      replaced.call(OWNER, "ran", ticketOfRan);
      replaced.replace(OWNER);
      List<Told> told = new ArrayList<>();
      for (int entry : new int[] {OWNER, OTHER}) {
        told.add(replaced.call(entry, "ran", ticketOfRan));
        told.add(replaced.call(entry, "unused", ticketOfUnused));
      }
      assertThat(told.stream().map(Told::outcome).toList(), everyItem(is("unknown")));
      assertThat(replaced.executions("ran"), is(1L));
      assertThat(replaced.executions("unused"), is(0L));
    }
  }

  @Test
  void isUnknownWhenTheOwnerEndsWhileItRunsThePassedCall() throws Exception {
    try (ServiceFleet ended = new ServiceFleet(2, 5 * DEADLINE_MILLIS)) {
      ended.service.setFault(new ServiceFault(FaultType.DELAY, Long.MAX_VALUE, DEADLINE_MILLIS));
      String ticket = ended.call(OWNER, "call", null).ticket();
      CompletableFuture<Told> told =
          CompletableFuture.supplyAsync(() -> ended.callUnchecked(OTHER, "call", ticket));
      await().until(() -> ended.service.stats().seen() == 1);
      ended.replaceWithoutWaiting(OWNER);
      assertThat(told.get().outcome(), is("unknown"));
      await().until(() -> ended.executions("call") == 1);
    }
  }
}
