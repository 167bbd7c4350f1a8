package org.gentianslip.core.ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.outcome.NotRunReason;
import org.gentianslip.core.outcome.Outcome;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TicketLedgerTest {

  private static final TicketBinding BINDING =
      TicketBinding.of(CustomerId.of("shop"), ServiceId.of("booking"), "POST", "/slots");
  private static final Outcome DONE = new Outcome.Completed(200);
  private static final long SECOND = 1_000_000_000L;

  private final TicketIssuer issuer =
      new TicketIssuer(InstanceId.of("a"), Incarnation.of(1), new byte[16]);
  private final TicketLedger ledger = new TicketLedger(issuer, 2, SECOND, 0);

  private Ticket ticket() {
    return issuer.issue(0, SECOND, BINDING);
  }

  private Ticket used() {
    Ticket t = ticket();
    assertThat(ledger.redeem(1, t, BINDING), is(new Redemption.Execute(t)));
    return t;
  }

  private static Redemption ended(Outcome outcome) {
    return new Redemption.AlreadyUsed(new TicketUse.Ended(outcome));
  }

  @Nested
  class WhileTheTicketIsValid {

    @Test
    void grantsItOnce() {
      Ticket t = used();
      Redemption again = ledger.redeem(1, t, BINDING);
      assertThat(again, is(new Redemption.AlreadyUsed(new TicketUse.InProgress())));
    }

    @Test
    void returnsTheOutcomeToRepetitions() {
      Ticket t = used();
      ledger.complete(t, DONE);
      assertThat(ledger.redeem(1, t, BINDING), is(ended(DONE)));
    }

    @Test
    void doesNotGrantItAgainAfterCallsThatDidNotRun() {
      Ticket t = used();
      Outcome notRun = new Outcome.NotRun(NotRunReason.NOT_WRITTEN);
      ledger.complete(t, notRun);
      assertThat(ledger.redeem(1, t, BINDING), is(ended(notRun)));
    }

    @Test
    void doesNotGrantItAfterItWasWithdrawn() {
      Ticket t = ticket();
      assertThat(ledger.withdraw(1, t, BINDING).outcome(), instanceOf(Outcome.NotRun.class));
      assertThat(ledger.redeem(1, t, BINDING), instanceOf(Redemption.AlreadyUsed.class));
    }

    @Test
    void doesNotWithdrawUsedTickets() {
      Ticket t = used();
      assertThat(ledger.withdraw(1, t, BINDING).outcome(), instanceOf(Outcome.Unknown.class));
    }

    @Test
    void refusesAnotherCall() {
      TicketBinding other =
          TicketBinding.of(CustomerId.of("other"), ServiceId.of("booking"), "POST", "/slots");
      assertThat(ledger.redeem(1, ticket(), other), is(new Redemption.Forged()));
    }

    @Test
    void returnsTheOwnerOfForeignTickets() {
      TicketIssuer old = new TicketIssuer(InstanceId.of("a"), Incarnation.of(2), new byte[16]);
      Redemption answer = ledger.redeem(1, old.issue(0, 9, BINDING), BINDING);
      assertThat(answer, is(new Redemption.Foreign(InstanceId.of("a"), Incarnation.of(2))));
    }

    @Test
    void completesOnlyCallsInProgress() {
      Ticket t = ticket();
      assertThrows(IllegalStateException.class, () -> ledger.complete(t, DONE));
    }
  }

  @Nested
  class AfterTheExpiry {

    @Test
    void refusesTicketsThatWereNeverUsed() {
      assertThat(ledger.redeem(SECOND, ticket(), BINDING), is(new Redemption.Expired(true)));
    }

    @Test
    void staysRefusedForThreadsWithAnOlderTime() {
      Ticket t = ticket();
      ledger.redeem(SECOND, t, BINDING);
      assertThat(ledger.redeem(1, t, BINDING), instanceOf(Redemption.AlreadyUsed.class));
    }

    @Test
    void reportsNoCertainOutcomeOfDroppedUses() {
      Ticket t = used();
      ledger.complete(t, DONE);
      ledger.sweep(3 * SECOND);
      assertThat(ledger.redeem(3 * SECOND, t, BINDING), is(new Redemption.Expired(false)));
    }

    @Test
    void doesNotGrantTicketsOfDroppedUsesToThreadsWithAnOlderTime() {
      Ticket t = used();
      ledger.complete(t, DONE);
      ledger.sweep(3 * SECOND);
      assertThat(ledger.redeem(1, t, BINDING), is(new Redemption.Expired(false)));
    }

    @Test
    void keepsUsesUntilTheRetentionIsOver() {
      Ticket t = used();
      ledger.complete(t, DONE);
      ledger.sweep(2 * SECOND);
      assertThat(ledger.redeem(2 * SECOND, t, BINDING), is(ended(DONE)));
    }

    @Test
    void keepsCallsInProgress() {
      used();
      ledger.sweep(9 * SECOND);
      assertThat(ledger.size(), is(1));
    }

    @Test
    void isNoLongerValidForTheWrite() {
      Ticket t = used();
      assertThat(ledger.stillValid(SECOND - 1, t), is(true));
      assertThat(ledger.stillValid(SECOND, t), is(false));
    }
  }

  @Nested
  class WhenItIsFull {

    @Test
    void refusesAndWithdrawsTheTicket() {
      used();
      used();
      Ticket third = ticket();
      assertThat(ledger.redeem(1, third, BINDING), is(new Redemption.TableFull(true)));
      assertThat(ledger.redeem(1, third, BINDING), instanceOf(Redemption.AlreadyUsed.class));
    }

    @Test
    void reportsNoCertainOutcomeOnceWithdrawalsAreFullToo() {
      for (int i = 0; i < 4; i++) {
        ledger.redeem(1, ticket(), BINDING);
      }
      assertThat(ledger.redeem(1, ticket(), BINDING), is(new Redemption.TableFull(false)));
      assertThat(ledger.size(), is(4));
    }

    @Test
    void stillKnowsUsedTickets() {
      Ticket t = used();
      used();
      ledger.redeem(1, ticket(), BINDING);
      assertThat(ledger.redeem(1, t, BINDING), instanceOf(Redemption.AlreadyUsed.class));
    }

    @Test
    void dropsExpiredUsesToMakeRoom() {
      ledger.complete(used(), DONE);
      ledger.complete(used(), DONE);
      Ticket later = issuer.issue(4 * SECOND, SECOND, BINDING);
      assertThat(ledger.redeem(4 * SECOND, later, BINDING), is(new Redemption.Execute(later)));
    }
  }

  @Nested
  class WithManyThreads {

    @Test
    void grantsEveryTicketAtMostOnce() throws Exception {
      TicketLedger shared = new TicketLedger(issuer, 64, 0, 0);
      List<Ticket> tickets = new ArrayList<>();
      for (int i = 0; i < 400; i++) {
        tickets.add(ticket());
      }
      ExecutorService pool = Executors.newFixedThreadPool(4);
      try {
        List<Callable<List<Ticket>>> tasks = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          boolean outdated = i % 2 == 0;
          tasks.add(() -> grantsOf(shared, tickets, outdated));
        }
        List<Ticket> granted = new ArrayList<>();
        for (Future<List<Ticket>> f : pool.invokeAll(tasks)) {
          granted.addAll(f.get());
        }
        assertThat((long) granted.size(), is(granted.stream().distinct().count()));
        assertThat(shared.size(), lessThanOrEqualTo(128));
      } finally {
        pool.shutdownNow();
      }
    }

    private static List<Ticket> grantsOf(TicketLedger ledger, List<Ticket> all, boolean outdated) {
      List<Ticket> granted = new ArrayList<>();
      for (Ticket t : all) {
        if (ledger.redeem(outdated ? 1 : SECOND, t, BINDING) instanceof Redemption.Execute e) {
          granted.add(e.ticket());
          ledger.complete(e.ticket(), DONE);
        }
        ledger.sweep(3 * SECOND);
      }
      return granted;
    }
  }
}
