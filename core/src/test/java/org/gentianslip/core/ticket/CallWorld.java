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
 * Plays calls that are repeated through several instances, as a sequence of random steps.
 *
 * <p>Copies of a call are delivered late, twice and in any order. Every decision may be taken at a
 * time that was read long before. An instance that was replaced goes on as a process that wakes
 * late. Not thread-safe.
 */
final class CallWorld {

  private static final long SECOND = 1_000_000_000L;
  private static final int RECENT_CALLS = 4;
  private static final TicketBinding BINDING =
      TicketBinding.of(CustomerId.of("shop"), ServiceId.of("booking"), "POST", "/slots");

  /** The tickets and calls that the service ran, one element for each execution. */
  final List<Copy> executions = new ArrayList<>();

  /** The tickets whose calls some caller was told not to have run. */
  final Set<String> toldNotRun = new HashSet<>();

  private final Random random;
  private final List<Life> current = new ArrayList<>();
  private final List<Copy> inFlight = new ArrayList<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final Set<Attempt> ended = new HashSet<>();
  private final Map<Integer, String> ticketOfCall = new HashMap<>();
  private long nowNanos = SECOND;
  private int calls;

  record Copy(int call, String ticket, int to, boolean passed) {}

  private record Life(int place, long clockOffset, TicketIssuer mint, TicketLedger ledger) {}

  private record Attempt(Life at, Copy copy, Ticket ticket, AttemptJournal journal) {}

  CallWorld(long seed, int instances) {
    random = new Random(seed);
    for (int i = 0; i < instances; i++) {
      current.add(start(i));
    }
  }

  void step() {
    switch (random.nextInt(12)) {
      case 0 -> ticketOfCall.put(calls++, mintSomewhere());
      case 1, 2, 3 -> send();
      case 4, 5, 6 -> deliver();
      case 7, 8 -> write();
      case 9 -> close();
      case 10 -> nowNanos += random.nextInt(20) == 0 ? 3 * SECOND : SECOND / 20;
      default -> disturb();
    }
  }

  private Life start(int place) {
    byte[] key = new byte[32];
    random.nextBytes(key);
    long offset = random.nextInt(1000) * SECOND;
    TicketIssuer mint =
        new TicketIssuer(InstanceId.of("i" + place), Incarnation.of(random.nextLong()), key);
    return new Life(place, offset, mint, new TicketLedger(mint, 4, 2 * SECOND, nowNanos + offset));
  }

  private String mintSomewhere() {
    Life p = pick(current);
    return p.mint().issue(nowNanos + p.clockOffset(), SECOND, BINDING).toString();
  }

  /** Returns the time that a process believes; it may have read it before a pause. */
  private long nowOf(Life p) {
    long late = random.nextInt(3) == 0 ? random.nextInt(6) * SECOND : 0;
    return nowNanos + p.clockOffset() - late;
  }

  private void send() {
    if (calls > 0) {
      int call = calls - 1 - random.nextInt(Math.min(calls, RECENT_CALLS));
      inFlight.add(new Copy(call, ticketOfCall.get(call), random.nextInt(current.size()), false));
    }
  }

  private void deliver() {
    if (inFlight.isEmpty()) {
      return;
    }
    Copy copy = pick(inFlight);
    if (random.nextInt(4) != 0) {
      inFlight.remove(copy);
    }
    Life p = current.get(copy.to());
    Ticket ticket = Ticket.parse(copy.ticket()).orElseThrow();
    Redemption answer =
        random.nextInt(10) == 0
            ? p.ledger().withdraw(nowOf(p), ticket, BINDING)
            : p.ledger().redeem(nowOf(p), ticket, BINDING);
    if (answer instanceof Redemption.Execute) {
      attempts.add(new Attempt(p, copy, ticket, new AttemptJournal()));
    } else if (answer instanceof Redemption.Foreign) {
      decideForeign(copy, ticket);
    } else if (answer instanceof Redemption.Refusal refusal) {
      tell(copy, refusal.outcome());
    }
  }

  private void decideForeign(Copy copy, Ticket ticket) {
    OwnerView view =
        new OwnerView(random.nextInt(9) != 0, random.nextInt(9) != 0, random.nextInt(9) != 0);
    ForeignTicketDecision decision = ForeignTicketRule.decide(ticket, BINDING, view, copy.passed());
    if (decision instanceof ForeignTicketDecision.PassToOwner) {
      int owner = Integer.parseInt(ticket.owner().value().substring(1));
      inFlight.add(new Copy(copy.call(), copy.ticket(), owner, true));
    } else if (decision instanceof ForeignTicketDecision.NeverExecutable) {
      tell(copy, new Redemption.Forged().outcome());
    } else {
      tell(copy, ForeignTicketRule.outcomeWithoutAnswer());
    }
  }

  private void write() {
    if (attempts.isEmpty()) {
      return;
    }
    Attempt a = pick(attempts);
    if (!a.journal().beginWrite(nowOf(a.at()), a.ticket().expiresNanos())) {
      if (ended.contains(a)) {
        attempts.remove(a);
      }
      return;
    }
    attempts.remove(a);
    int fate = random.nextInt(5);
    if (fate == 0) {
      a.journal().headersRead(503, true);
    } else if (fate > 1) {
      executions.add(a.copy());
    }
    if (fate > 2) {
      a.journal().headersRead(200, false);
    }
    if (fate > 3) {
      a.journal().answerRead();
    }
    end(a);
  }

  /** Ends an attempt at its deadline; its thread may still try to write afterwards. */
  private void close() {
    if (!attempts.isEmpty()) {
      Attempt a = pick(attempts);
      end(a);
    }
  }

  private void end(Attempt a) {
    if (!ended.add(a)) {
      return;
    }
    Outcome outcome = a.journal().close();
    if (outcome instanceof Outcome.NotRun && random.nextInt(3) == 0) {
      attempts.add(new Attempt(a.at(), a.copy(), a.ticket(), new AttemptJournal()));
      return;
    }
    a.at().ledger().complete(a.ticket(), outcome);
    tell(a.copy(), outcome);
  }

  private void tell(Copy copy, Outcome outcome) {
    if (outcome instanceof Outcome.NotRun) {
      toldNotRun.add(copy.ticket());
      if (copy.ticket().equals(ticketOfCall.get(copy.call()))) {
        ticketOfCall.put(copy.call(), mintSomewhere());
      }
    }
  }

  private void disturb() {
    Life p = pick(current);
    if (random.nextInt(10) == 0) {
      current.set(p.place(), start(p.place()));
    } else {
      p.ledger().sweep(nowNanos + p.clockOffset());
    }
  }

  private <T> T pick(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }
}
