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
import org.gentianslip.entry.testing.CuttingRelay.Cut;
import org.gentianslip.entry.testing.ServiceFleet;
import org.gentianslip.entry.testing.ServiceFleet.CallResult;
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
  private static final int CUT_STEP_BYTES = 23;
  private static final int OWNER = 0;
  private static final int NON_OWNER = 1;
  private static ServiceFleet fleet;

  @BeforeAll
  static void start() throws IOException {
    fleet = new ServiceFleet(2, DEADLINE_MILLIS);
  }

  @AfterAll
  static void stop() throws IOException {
    fleet.close();
  }

  private static String requestTicket(String call) throws IOException {
    CallResult first = fleet.call(OWNER, call, null);
    assertThat(first.toString(), first.status(), is(428));
    return first.ticket();
  }

  /** Makes a call, repeats it through both instances, and returns all responses to callers. */
  private static List<CallResult> callThreeTimes(String call) throws IOException {
    String ticket = requestTicket(call);
    List<CallResult> results = new ArrayList<>();
    results.add(fleet.call(OWNER, call, ticket));
    results.add(fleet.call(NON_OWNER, call, ticket));
    results.add(fleet.call(OWNER, call, ticket));
    return results;
  }

  private static void assertConsistent(String description, String call, List<CallResult> results) {
    long runs = fleet.executions(call);
    assertThat(description, runs, lessThanOrEqualTo(1L));
    for (CallResult result : results) {
      if (result.outcome().equals("not-run")) {
        assertThat(description + " " + results, runs, is(0L));
      }
      if (result.outcome().equals("completed")) {
        assertThat(description + " " + results, runs, is(1L));
      }
    }
  }

  @Test
  void isFirstAnsweredWithTicket() throws IOException {
    String call = fleet.newCall();
    requestTicket(call);
    assertThat(fleet.executions(call), is(0L));
  }

  @Test
  void runsOnceWhenRepeatedThroughBothInstances() throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    String call = fleet.newCall();
    List<CallResult> results = callThreeTimes(call);
    assertThat(fleet.executions(call), is(1L));
    assertThat(results.stream().map(CallResult::outcome).toList(), everyItem(is("completed")));
  }

  @Test
  void runsWhenAnotherInstancePassesItToTheOwner() throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    String call = fleet.newCall();
    CallResult result = fleet.call(NON_OWNER, call, requestTicket(call));
    assertThat(result.toString(), result.status(), is(200));
    assertThat(fleet.executions(call), is(1L));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void hasConsistentOutcomesWhereverTheConnectionBreaks(boolean silent) throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    callThreeTimes(fleet.newCall());
    final long requestBytes = fleet.relay.requestBytes.get();
    final long responseBytes = fleet.relay.responseBytes.get();
    Map<String, List<CallResult>> resultsByCall = new HashMap<>();
    for (long at = 0; at <= requestBytes + CUT_STEP_BYTES; at += CUT_STEP_BYTES) {
      callWithCut(new Cut(at, Long.MAX_VALUE, silent), resultsByCall);
    }
    for (long at = 0; at <= responseBytes + CUT_STEP_BYTES; at += CUT_STEP_BYTES) {
      callWithCut(new Cut(Long.MAX_VALUE, at, silent), resultsByCall);
    }
    fleet.relay.cutAt(Cut.NONE);
    resultsByCall.forEach((call, results) -> assertConsistent("silent " + silent, call, results));
    printUnknownCounts(silent, resultsByCall);
  }

  private static void callWithCut(Cut cut, Map<String, List<CallResult>> resultsByCall)
      throws IOException {
    fleet.relay.cutAt(cut);
    String call = fleet.newCall();
    resultsByCall.put(call, callThreeTimes(call));
  }

  private static void printUnknownCounts(
      boolean silent, Map<String, List<CallResult>> resultsByCall) {
    long unknown =
        resultsByCall.values().stream().filter(results -> isUnknown(results.get(0))).count();
    long neverRan =
        resultsByCall.entrySet().stream()
            .filter(e -> isUnknown(e.getValue().get(0)) && fleet.executions(e.getKey()) == 0)
            .count();
    System.out.printf(
        "cut points %d, silent %s: %d unknown, of which %d never ran%n",
        resultsByCall.size(), silent, unknown, neverRan);
  }

  private static boolean isUnknown(CallResult result) {
    return result.outcome().equals("unknown");
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
  void hasConsistentOutcomesUnderServiceFaults(String fault) throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    fleet.service.setFault(ServiceFault.always(FaultType.valueOf(fault)));
    String call = fleet.newCall();
    List<CallResult> results = callThreeTimes(call);
    fleet.service.setFault(ServiceFault.NONE);
    assertConsistent(fault, call, results);
    boolean refused = fault.equals("REFUSE");
    assertThat(results.get(0).outcome(), is(refused ? "not-run" : "unknown"));
  }

  @Test
  void runsUnderTheNewTicketAfterRefusal() throws IOException {
    fleet.relay.cutAt(Cut.NONE);
    String call = fleet.newCall();
    fleet.service.setFault(ServiceFault.once(FaultType.REFUSE));
    CallResult refused = fleet.call(OWNER, call, requestTicket(call));
    CallResult result = fleet.call(NON_OWNER, call, refused.ticket());
    assertThat(result.toString(), result.outcome(), is("completed"));
    assertThat(fleet.executions(call), is(1L));
  }

  @Test
  void runsOnceWhenSentConcurrentlyThroughBothInstances() throws Exception {
    fleet.relay.cutAt(Cut.NONE);
    fleet.service.setFault(new ServiceFault(FaultType.DELAY, Long.MAX_VALUE, 50));
    String call = fleet.newCall();
    String ticket = requestTicket(call);
    ExecutorService pool = Executors.newFixedThreadPool(16);
    List<Callable<CallResult>> calls = new ArrayList<>();
    for (int i = 0; i < 64; i++) {
      int entry = i % 2;
      calls.add(() -> fleet.call(entry, call, ticket));
    }
    List<CallResult> results = new ArrayList<>();
    for (Future<CallResult> future : pool.invokeAll(calls)) {
      results.add(future.get());
    }
    pool.shutdownNow();
    fleet.service.setFault(ServiceFault.NONE);
    assertThat(fleet.executions(call), is(1L));
    assertThat(results.stream().map(CallResult::outcome).toList(), everyItem(is(not("not-run"))));
  }

  @Test
  void isNeverRunByTheSuccessorOfItsOwner() throws IOException {
    try (ServiceFleet restartedFleet = new ServiceFleet(2, DEADLINE_MILLIS)) {
      String ticketOfRunCall = restartedFleet.call(OWNER, "ran", null).ticket();
      final String ticketOfUnusedCall = restartedFleet.call(OWNER, "unused", null).ticket();
      restartedFleet.call(OWNER, "ran", ticketOfRunCall);
      restartedFleet.replace(OWNER);
      List<CallResult> results = new ArrayList<>();
      for (int entry : new int[] {OWNER, NON_OWNER}) {
        results.add(restartedFleet.call(entry, "ran", ticketOfRunCall));
        results.add(restartedFleet.call(entry, "unused", ticketOfUnusedCall));
      }
      assertThat(results.stream().map(CallResult::outcome).toList(), everyItem(is("unknown")));
      assertThat(restartedFleet.executions("ran"), is(1L));
      assertThat(restartedFleet.executions("unused"), is(0L));
    }
  }

  @Test
  void hasAnUnknownOutcomeIfTheOwnerStopsDuringThePassedCall() throws Exception {
    try (ServiceFleet stoppedFleet = new ServiceFleet(2, 5 * DEADLINE_MILLIS)) {
      stoppedFleet.service.setFault(
          new ServiceFault(FaultType.DELAY, Long.MAX_VALUE, DEADLINE_MILLIS));
      String ticket = stoppedFleet.call(OWNER, "call", null).ticket();
      CompletableFuture<CallResult> result =
          CompletableFuture.supplyAsync(
              () -> stoppedFleet.callUnchecked(NON_OWNER, "call", ticket));
      await().until(() -> stoppedFleet.service.stats().seen() == 1);
      stoppedFleet.replaceWithoutWaiting(OWNER);
      assertThat(result.get().outcome(), is("unknown"));
      await().until(() -> stoppedFleet.executions("call") == 1);
    }
  }
}
