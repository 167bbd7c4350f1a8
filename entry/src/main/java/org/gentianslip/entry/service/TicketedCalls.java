package org.gentianslip.entry.service;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.outcome.Outcome;
import org.gentianslip.core.ticket.ForeignTicketDecision;
import org.gentianslip.core.ticket.ForeignTicketRule;
import org.gentianslip.core.ticket.OwnerView;
import org.gentianslip.core.ticket.Redemption;
import org.gentianslip.core.ticket.Ticket;
import org.gentianslip.core.ticket.TicketIssuer;
import org.gentianslip.core.ticket.TicketLedger;
import org.gentianslip.core.ticket.TicketUse;
import org.gentianslip.entry.configservice.BackendRecord;
import org.gentianslip.entry.configservice.InstanceRecord;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.OutcomeName;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.relay.WholeBody;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.SettingCatalog;

/**
 * Runs calls that may run at most once.
 *
 * <p>Only the incarnation that minted a call's ticket sends the call to a backend server, once, on
 * a fresh connection, and only before the ticket expires. Any other instance passes the call to
 * that incarnation or says plainly what it does not know. Safe for use by several threads.
 */
final class TicketedCalls {

  private final FleetState state;
  private final UpstreamClient client;
  private final TicketIssuer mint;
  private final TicketLedger ledger;
  private final ServiceBackends backends;

  TicketedCalls(FleetState state, UpstreamClient client, TicketIssuer mint, TicketLedger ledger) {
    this.state = state;
    this.client = client;
    this.mint = mint;
    this.ledger = ledger;
    this.backends = new ServiceBackends(state);
  }

  void run(long nowNanos, ServiceExchange exchange) {
    Optional<String> text = exchange.call().ticket();
    if (text.isEmpty() && state.leaving()) {
      exchange.fail(ErrorReply.notRun(ErrorCode.LEAVING, "This instance is leaving."));
      return;
    }
    if (text.isEmpty()) {
      exchange.fail(
          withTicket(
              nowNanos,
              exchange,
              ErrorReply.notRun(
                  ErrorCode.TICKET_REQUIRED,
                  "The call is not idempotent; repeat it with the ticket of this answer.")));
      return;
    }
    Optional<Ticket> ticket = Ticket.parse(text.get());
    if (ticket.isEmpty()) {
      exchange.fail(invalid("The header X-Ticket holds no ticket."));
      return;
    }
    if (mint.isOwnerOf(ticket.get())) {
      redeem(nowNanos, exchange, ticket.get());
    } else {
      passOn(nowNanos, exchange, ticket.get());
    }
  }

  private ErrorReply withTicket(long nowNanos, ServiceExchange exchange, ErrorReply reply) {
    long lifetime =
        exchange.call().settings().effective().get(SettingCatalog.TICKET_LIFETIME).toNanos();
    Ticket ticket = mint.issue(nowNanos, lifetime, exchange.call().binding());
    return reply.withHeader(HeaderNames.TICKET, ticket.toString());
  }

  private static ErrorReply invalid(String message) {
    return ErrorReply.notRun(ErrorCode.TICKET_INVALID, message);
  }

  private void redeem(long nowNanos, ServiceExchange exchange, Ticket ticket) {
    if (state.leaving()) {
      withdraw(nowNanos, exchange, ticket, ErrorCode.LEAVING, "This instance is leaving.");
      return;
    }
    Optional<BackendRecord> backend = backends.next(nowNanos, exchange);
    if (backend.isEmpty()) {
      String message = "No backend server of this region runs the service.";
      withdraw(nowNanos, exchange, ticket, ErrorCode.NO_CAPACITY, message);
      return;
    }
    Redemption redemption = ledger.redeem(nowNanos, ticket, exchange.call().binding());
    exchange.step(nowNanos, "ticket", "", redemption.getClass().getSimpleName());
    if (redemption instanceof Redemption.Execute execute) {
      execute(nowNanos, exchange, execute.ticket(), backend.get());
    } else {
      exchange.fail(refusal(nowNanos, exchange, redemption));
    }
  }

  /** Refuses a call, and makes sure that it does not run later under the same ticket. */
  private void withdraw(
      long nowNanos, ServiceExchange exchange, Ticket ticket, ErrorCode code, String message) {
    Redemption redemption = ledger.withdraw(nowNanos, ticket, exchange.call().binding());
    exchange.step(nowNanos, "withdraw", "", redemption.getClass().getSimpleName());
    boolean neverRan =
        redemption instanceof Redemption.AlreadyUsed used
            && used.use() instanceof TicketUse.Ended ended
            && ended.outcome() instanceof Outcome.NotRun;
    exchange.fail(
        neverRan ? ErrorReply.notRun(code, message) : refusal(nowNanos, exchange, redemption));
  }

  private ErrorReply refusal(long nowNanos, ServiceExchange exchange, Redemption redemption) {
    if (redemption instanceof Redemption.AlreadyUsed used) {
      return used(used.use());
    }
    if (redemption instanceof Redemption.Expired expired) {
      String message = "The ticket has expired.";
      return expired.neverUsed()
          ? withTicket(nowNanos, exchange, invalid(message))
          : ErrorReply.unknown(ErrorCode.TICKET_INVALID, message);
    }
    if (redemption instanceof Redemption.TableFull full) {
      String message = "This instance remembers too many calls now.";
      return full.neverUsed()
          ? withTicket(nowNanos, exchange, ErrorReply.notRun(ErrorCode.NO_CAPACITY, message))
          : ErrorReply.unknown(ErrorCode.NO_CAPACITY, message);
    }
    return invalid("The ticket belongs to another call or is not genuine.");
  }

  private static ErrorReply used(TicketUse use) {
    if (use instanceof TicketUse.Ended ended) {
      return new ErrorReply(
          ErrorCode.TICKET_USED,
          "A call with this ticket has ended.",
          toName(ended.outcome()),
          List.of(),
          Map.of());
    }
    return ErrorReply.unknown(ErrorCode.TICKET_USED, "A call with this ticket is under way.");
  }

  private static OutcomeName toName(Outcome outcome) {
    if (outcome instanceof Outcome.Completed) {
      return OutcomeName.COMPLETED;
    }
    return outcome instanceof Outcome.NotRun ? OutcomeName.NOT_RUN : OutcomeName.UNKNOWN;
  }

  private void execute(
      long nowNanos, ServiceExchange exchange, Ticket ticket, BackendRecord backend) {
    exchange.beginAttempt(backend.id());
    exchange.step(nowNanos, "to-service", backend.id(), "TICKET");
    client.startOnFreshConnection(
        BackendRequests.toBackend(exchange.call(), backend, ticket.expiresNanos()),
        exchange.timeouts(nowNanos),
        result -> executed(exchange, ticket, backend, result));
  }

  private void executed(
      ServiceExchange exchange, Ticket ticket, BackendRecord backend, UpstreamResult result) {
    if (result instanceof UpstreamResult.Answer answer) {
      copy(exchange, ticket, answer);
    } else if (result instanceof UpstreamResult.Refused refused) {
      long now = System.nanoTime();
      backends.refused(now, exchange, backend, refused.code());
      afterRefusal(now, exchange, ticket, refused.outcome());
    } else if (result instanceof UpstreamResult.Failed failed) {
      exchange.step(System.nanoTime(), "service-failed", "", failed.message());
      end(exchange, ticket, failed.outcome());
    }
  }

  /** Tries the next backend server if the call surely did not start at the one before. */
  private void afterRefusal(
      long nowNanos, ServiceExchange exchange, Ticket ticket, Outcome outcome) {
    Optional<BackendRecord> next = backends.untried(nowNanos, exchange);
    boolean mayRun = outcome instanceof Outcome.NotRun && nowNanos - ticket.expiresNanos() < 0;
    if (mayRun && next.isPresent()) {
      execute(nowNanos, exchange, ticket, next.get());
      return;
    }
    end(exchange, ticket, outcome);
  }

  private void copy(ServiceExchange exchange, Ticket ticket, UpstreamResult.Answer answer) {
    byte[] body;
    try {
      body = WholeBody.read(answer.response());
    } catch (IOException e) {
      end(exchange, ticket, answer.journal().close());
      return;
    }
    answer.journal().answerRead();
    Outcome outcome = answer.journal().close();
    ledger.complete(ticket, outcome);
    String region = state.place().region().value();
    exchange.send(
        answer.response().code(),
        BackendRequests.answerHeaders(answer.response(), region, outcome),
        body);
  }

  private void end(ServiceExchange exchange, Ticket ticket, Outcome outcome) {
    ledger.complete(ticket, outcome);
    if (outcome instanceof Outcome.NotRun) {
      exchange.fail(
          withTicket(
              System.nanoTime(),
              exchange,
              ErrorReply.notRun(
                  ErrorCode.NO_CAPACITY, "The backend server did not run the call.")));
      return;
    }
    exchange.fail(
        ErrorReply.unknown(
            ErrorCode.OUTCOME_UNKNOWN, "It is unknown whether the backend server ran the call."));
  }

  private void passOn(long nowNanos, ServiceExchange exchange, Ticket ticket) {
    ServiceCall call = exchange.call();
    Optional<InstanceRecord> owner = listed(ticket.owner());
    ForeignTicketDecision decision =
        ForeignTicketRule.decide(
            ticket, call.binding(), view(nowNanos, call, owner), call.forwarded());
    exchange.step(
        nowNanos, "foreign-ticket", ticket.owner().value(), decision.getClass().getSimpleName());
    if (decision instanceof ForeignTicketDecision.PassToOwner) {
      client.startOnFreshConnection(
          BackendRequests.toPeer(
              call,
              owner.orElseThrow().peerAddress(),
              state.place().peerKey(),
              exchange.remaining(nowNanos).toMillis()),
          exchange.timeouts(nowNanos),
          result -> passed(exchange, owner.orElseThrow().region(), result));
    } else if (decision instanceof ForeignTicketDecision.NeverExecutable) {
      exchange.fail(invalid("The ticket belongs to another call."));
    } else {
      exchange.fail(
          ErrorReply.unknown(
              ErrorCode.OUTCOME_UNKNOWN,
              "The instance that minted the ticket cannot be asked whether the call ran."));
    }
  }

  private Optional<InstanceRecord> listed(InstanceId owner) {
    return state.instanceList().entries().stream()
        .filter(e -> e.id().equals(owner.value()))
        .findFirst();
  }

  private OwnerView view(long nowNanos, ServiceCall call, Optional<InstanceRecord> owner) {
    if (owner.isEmpty()) {
      return OwnerView.NOT_KNOWN;
    }
    InstanceId id = InstanceId.of(owner.get().id());
    boolean allowed = call.settings().allowedRegions().contains(RegionId.of(owner.get().region()));
    boolean reachable = state.membership().table().isReachable(nowNanos, id);
    return new OwnerView(true, reachable, allowed);
  }

  private void passed(ServiceExchange exchange, String region, UpstreamResult result) {
    if (result instanceof UpstreamResult.Answer answer) {
      copyPassed(exchange, region, answer);
      return;
    }
    if (result instanceof UpstreamResult.Refused refused) {
      exchange.step(System.nanoTime(), "owner-refused", region, refused.code());
      exchange.fail(
          ErrorReply.notRun(
              ErrorCode.NO_CAPACITY, "The owner of the ticket did not run the call."));
      return;
    }
    exchange.fail(
        ErrorReply.unknown(ErrorCode.OUTCOME_UNKNOWN, "The owner of the ticket gave no answer."));
  }

  private void copyPassed(ServiceExchange exchange, String region, UpstreamResult.Answer answer) {
    byte[] body;
    try {
      body = WholeBody.read(answer.response());
    } catch (IOException e) {
      exchange.fail(
          ErrorReply.unknown(
              ErrorCode.OUTCOME_UNKNOWN, "The owner of the ticket gave no whole answer."));
      return;
    }
    var response = answer.response();
    exchange.send(
        response.code(),
        Map.of(
            "Content-Type",
            response.header("Content-Type", "application/json"),
            HeaderNames.SERVED_REGION,
            region,
            HeaderNames.OUTCOME,
            response.header(HeaderNames.OUTCOME, "unknown")),
        body);
  }
}
