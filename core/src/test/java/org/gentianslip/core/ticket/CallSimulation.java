package org.gentianslip.core.ticket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.outcome.AttemptJournal;
import org.gentianslip.core.outcome.Outcome;

/**
 * Simulates calls that are repeated through several instances, as a sequence of random steps.
 *
 * <p>Copies of a call are delivered late, twice and in any order. Every decision may use a time
 * that was read long before. A replaced instance continues to run, like a process that resumes
 * after a long pause. Not thread-safe.
 */
final class CallSimulation {

  private static final long SECOND = 1_000_000_000L;
  private static final int RECENT_CALLS = 4;
  private static final TicketBinding BINDING =
      TicketBinding.of(CustomerId.of("shop"), ServiceId.of("booking"), "POST", "/slots");

  /** The copies of calls that the service ran, one element for each execution. */
  final List<Copy> executions = new ArrayList<>();

  /** The tickets whose calls were reported to a caller as not run. */
  final Set<String> reportedNotRun = new HashSet<>();

  private final Random random;
  private final List<SimulatedProcess> current = new ArrayList<>();
  private final List<Copy> copiesInTransit = new ArrayList<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final Set<Attempt> ended = new HashSet<>();
  private final Map<Integer, String> ticketOfCall = new HashMap<>();
  private long nowNanos = SECOND;
  private int calls;

  record Copy(int call, String ticket, int to, boolean passed) {}

  private record SimulatedProcess(
      int place, long clockOffset, TicketIssuer issuer, TicketLedger ledger) {}

  private record Attempt(SimulatedProcess at, Copy copy, Ticket ticket, AttemptJournal journal) {}

  CallSimulation(long seed, int instances) {
    random = new Random(seed);
    for (int i = 0; i < instances; i++) {
      current.add(start(i));
    }
  }

  void step() {
    switch (random.nextInt(12)) {
      case 0 -> ticketOfCall.put(calls++, issueSomewhere());
      case 1, 2, 3 -> send();
      case 4, 5, 6 -> deliver();
      case 7, 8 -> write();
      case 9 -> close();
      case 10 -> nowNanos += random.nextInt(20) == 0 ? 3 * SECOND : SECOND / 20;
      default -> injectFault();
    }
  }

  private SimulatedProcess start(int place) {
    byte[] key = new byte[32];
    random.nextBytes(key);
    long offset = random.nextInt(1000) * SECOND;
    TicketIssuer issuer =
        new TicketIssuer(InstanceId.of("i" + place), Incarnation.of(random.nextLong()), key);
    return new SimulatedProcess(
        place, offset, issuer, new TicketLedger(issuer, 4, 2 * SECOND, nowNanos + offset));
  }

  private String issueSomewhere() {
    SimulatedProcess process = pickRandom(current);
    return process.issuer().issue(nowNanos + process.clockOffset(), SECOND, BINDING).toString();
  }

  /** Returns the time that a process uses, which it may have read before a pause. */
  private long readTimeOf(SimulatedProcess process) {
    long stalenessNanos = random.nextInt(3) == 0 ? random.nextInt(6) * SECOND : 0;
    return nowNanos + process.clockOffset() - stalenessNanos;
  }

  private void send() {
    if (calls > 0) {
      int call = calls - 1 - random.nextInt(Math.min(calls, RECENT_CALLS));
      copiesInTransit.add(
          new Copy(call, ticketOfCall.get(call), random.nextInt(current.size()), false));
    }
  }

  private void deliver() {
    if (copiesInTransit.isEmpty()) {
      return;
    }
    Copy copy = pickRandom(copiesInTransit);
    if (random.nextInt(4) != 0) {
      copiesInTransit.remove(copy);
    }
    SimulatedProcess process = current.get(copy.to());
    Ticket ticket = Ticket.parse(copy.ticket()).orElseThrow();
    Redemption answer =
        random.nextInt(10) == 0
            ? process.ledger().withdraw(readTimeOf(process), ticket, BINDING)
            : process.ledger().redeem(readTimeOf(process), ticket, BINDING);
    if (answer instanceof Redemption.Execute) {
      attempts.add(new Attempt(process, copy, ticket, new AttemptJournal()));
    } else if (answer instanceof Redemption.Foreign) {
      decideForeign(copy, ticket);
    } else if (answer instanceof Redemption.Refusal refusal) {
      reportOutcome(copy, refusal.outcome());
    }
  }

  private void decideForeign(Copy copy, Ticket ticket) {
    OwnerView view =
        new OwnerView(random.nextInt(9) != 0, random.nextInt(9) != 0, random.nextInt(9) != 0);
    ForeignTicketDecision decision = ForeignTicketRule.decide(ticket, BINDING, view, copy.passed());
    if (decision instanceof ForeignTicketDecision.PassToOwner) {
      int owner = Integer.parseInt(ticket.owner().value().substring(1));
      copiesInTransit.add(new Copy(copy.call(), copy.ticket(), owner, true));
    } else if (decision instanceof ForeignTicketDecision.NeverExecutable) {
      reportOutcome(copy, new Redemption.Forged().outcome());
    } else {
      reportOutcome(copy, ForeignTicketRule.outcomeWithoutAnswer());
    }
  }

  private void write() {
    if (attempts.isEmpty()) {
      return;
    }
    Attempt attempt = pickRandom(attempts);
    if (!attempt.journal().beginWrite(readTimeOf(attempt.at()), attempt.ticket().expiresNanos())) {
      if (ended.contains(attempt)) {
        attempts.remove(attempt);
      }
      return;
    }
    attempts.remove(attempt);
    int result = random.nextInt(5);
    if (result == 0) {
      attempt.journal().headersRead(503, true);
    } else if (result > 1) {
      executions.add(attempt.copy());
    }
    if (result > 2) {
      attempt.journal().headersRead(200, false);
    }
    if (result > 3) {
      attempt.journal().answerCompleted();
    }
    end(attempt);
  }

  /** Ends an attempt at its deadline; its thread may still try to write after that. */
  private void close() {
    if (!attempts.isEmpty()) {
      Attempt attempt = pickRandom(attempts);
      end(attempt);
    }
  }

  private void end(Attempt attempt) {
    if (!ended.add(attempt)) {
      return;
    }
    Outcome outcome = attempt.journal().close();
    if (outcome instanceof Outcome.NotRun && random.nextInt(3) == 0) {
      attempts.add(
          new Attempt(attempt.at(), attempt.copy(), attempt.ticket(), new AttemptJournal()));
      return;
    }
    attempt.at().ledger().complete(attempt.ticket(), outcome);
    reportOutcome(attempt.copy(), outcome);
  }

  private void reportOutcome(Copy copy, Outcome outcome) {
    if (outcome instanceof Outcome.NotRun) {
      reportedNotRun.add(copy.ticket());
      if (copy.ticket().equals(ticketOfCall.get(copy.call()))) {
        ticketOfCall.put(copy.call(), issueSomewhere());
      }
    }
  }

  private void injectFault() {
    SimulatedProcess process = pickRandom(current);
    if (random.nextInt(10) == 0) {
      current.set(process.place(), start(process.place()));
    } else {
      process.ledger().sweep(nowNanos + process.clockOffset());
    }
  }

  private <T> T pickRandom(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }
}
