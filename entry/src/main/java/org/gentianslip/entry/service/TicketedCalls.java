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
import org.gentianslip.entry.relay.ResponseBodyReader;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.relay.UpstreamResult;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.SettingCatalog;

/**
 * Runs calls that are not idempotent, each of them at most once.
 *
 * <p>Only the incarnation that issued the ticket of a call sends the call to a backend server, on a
 * fresh connection and only before the ticket expires. It sends the call to another backend server
 * only if the previous one certainly did not start it. Any other instance passes the call to that
 * incarnation or, if it cannot, reports that the outcome is unknown. Safe for use by several
 * threads.
 */
final class TicketedCalls {

  private final FleetState state;
  private final UpstreamClient client;
  private final TicketIssuer issuer;
  private final TicketLedger ledger;
  private final ServiceBackends backends;

  TicketedCalls(FleetState state, UpstreamClient client, TicketIssuer issuer, TicketLedger ledger) {
    this.state = state;
    this.client = client;
    this.issuer = issuer;
    this.ledger = ledger;
    this.backends = new ServiceBackends(state);
  }

  void run(long nowNanos, ServiceExchange exchange) {
    Optional<String> ticketText = exchange.call().ticket();
    if (ticketText.isEmpty() && state.leaving()) {
      exchange.fail(ErrorReply.notRun(ErrorCode.LEAVING, "This instance is leaving."));
      return;
    }
    if (ticketText.isEmpty()) {
      exchange.fail(
          withNewTicket(
              nowNanos,
              exchange,
              ErrorReply.notRun(
                  ErrorCode.TICKET_REQUIRED,
                  "The call is not idempotent; repeat it with the ticket of this response.")));
      return;
    }
    Optional<Ticket> ticket = Ticket.parse(ticketText.get());
    if (ticket.isEmpty()) {
      exchange.fail(invalidTicket("The header X-Ticket does not hold a valid ticket."));
      return;
    }
    if (issuer.isOwnerOf(ticket.get())) {
      redeem(nowNanos, exchange, ticket.get());
    } else {
      passToOwner(nowNanos, exchange, ticket.get());
    }
  }

  private ErrorReply withNewTicket(long nowNanos, ServiceExchange exchange, ErrorReply reply) {
    long lifetimeNanos =
        exchange.call().settings().effective().get(SettingCatalog.TICKET_LIFETIME).toNanos();
    Ticket ticket = issuer.issue(nowNanos, lifetimeNanos, exchange.call().binding());
    return reply.withHeader(HeaderNames.TICKET, ticket.toString());
  }

  private static ErrorReply invalidTicket(String message) {
    return ErrorReply.notRun(ErrorCode.TICKET_INVALID, message);
  }

  private void redeem(long nowNanos, ServiceExchange exchange, Ticket ticket) {
    if (state.leaving()) {
      withdraw(nowNanos, exchange, ticket, ErrorCode.LEAVING, "This instance is leaving.");
      return;
    }
    Optional<BackendRecord> backend = backends.next(nowNanos, exchange);
    if (backend.isEmpty()) {
      String message = "No backend server of this region is available for the service.";
      withdraw(nowNanos, exchange, ticket, ErrorCode.NO_CAPACITY, message);
      return;
    }
    Redemption redemption = ledger.redeem(nowNanos, ticket, exchange.call().binding());
    exchange.step(nowNanos, "ticket", "", redemption.getClass().getSimpleName());
    if (redemption instanceof Redemption.Execute execute) {
      execute(nowNanos, exchange, execute.ticket(), backend.get());
    } else {
      exchange.fail(refusalReply(nowNanos, exchange, redemption));
    }
  }

  /** Refuses a call and ensures that it cannot run later under the same ticket. */
  private void withdraw(
      long nowNanos, ServiceExchange exchange, Ticket ticket, ErrorCode code, String message) {
    Redemption redemption = ledger.withdraw(nowNanos, ticket, exchange.call().binding());
    exchange.step(nowNanos, "withdraw", "", redemption.getClass().getSimpleName());
    boolean neverRan =
        redemption instanceof Redemption.AlreadyUsed used
            && used.use() instanceof TicketUse.Ended ended
            && ended.outcome() instanceof Outcome.NotRun;
    exchange.fail(
        neverRan ? ErrorReply.notRun(code, message) : refusalReply(nowNanos, exchange, redemption));
  }

  private ErrorReply refusalReply(long nowNanos, ServiceExchange exchange, Redemption redemption) {
    if (redemption instanceof Redemption.AlreadyUsed used) {
      return usedReply(used.use());
    }
    if (redemption instanceof Redemption.Expired expired) {
      String message = "The ticket has expired.";
      return expired.neverUsed()
          ? withNewTicket(nowNanos, exchange, invalidTicket(message))
          : ErrorReply.unknown(ErrorCode.TICKET_INVALID, message);
    }
    if (redemption instanceof Redemption.TableFull full) {
      String message = "The ticket table of this instance is full.";
      return full.neverUsed()
          ? withNewTicket(nowNanos, exchange, ErrorReply.notRun(ErrorCode.NO_CAPACITY, message))
          : ErrorReply.unknown(ErrorCode.NO_CAPACITY, message);
    }
    return invalidTicket("The ticket was issued for another call or is forged.");
  }

  private static ErrorReply usedReply(TicketUse use) {
    if (use instanceof TicketUse.Ended ended) {
      return new ErrorReply(
          ErrorCode.TICKET_USED,
          "A call with this ticket has ended.",
          toOutcomeName(ended.outcome()),
          List.of(),
          Map.of());
    }
    return ErrorReply.unknown(ErrorCode.TICKET_USED, "A call with this ticket is in progress.");
  }

  private static OutcomeName toOutcomeName(Outcome outcome) {
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
        ServiceCallMapper.toBackendRequest(exchange.call(), backend, ticket.expiresNanos()),
        exchange.timeouts(nowNanos),
        result -> onResult(exchange, ticket, backend, result));
  }

  private void onResult(
      ServiceExchange exchange, Ticket ticket, BackendRecord backend, UpstreamResult result) {
    if (result instanceof UpstreamResult.Responded responded) {
      copyResponse(exchange, ticket, responded);
    } else if (result instanceof UpstreamResult.Refused refused) {
      long nowNanos = System.nanoTime();
      backends.applyRefusal(nowNanos, exchange, backend, refused.code());
      retryAfterRefusal(nowNanos, exchange, ticket, refused.outcome());
    } else if (result instanceof UpstreamResult.Failed failed) {
      exchange.step(System.nanoTime(), "service-failed", "", failed.message());
      finish(exchange, ticket, failed.outcome());
    }
  }

  /**
   * Sends the call to the next backend server if the previous one certainly did not start it, and
   * ends the call otherwise.
   */
  private void retryAfterRefusal(
      long nowNanos, ServiceExchange exchange, Ticket ticket, Outcome outcome) {
    Optional<BackendRecord> next = backends.nextUntried(nowNanos, exchange);
    boolean mayRun = outcome instanceof Outcome.NotRun && nowNanos - ticket.expiresNanos() < 0;
    if (mayRun && next.isPresent()) {
      execute(nowNanos, exchange, ticket, next.get());
      return;
    }
    finish(exchange, ticket, outcome);
  }

  private void copyResponse(
      ServiceExchange exchange, Ticket ticket, UpstreamResult.Responded responded) {
    byte[] body;
    try {
      body = ResponseBodyReader.read(responded.response());
    } catch (IOException e) {
      finish(exchange, ticket, responded.journal().close());
      return;
    }
    responded.journal().answerCompleted();
    Outcome outcome = responded.journal().close();
    ledger.complete(ticket, outcome);
    String region = state.config().region().value();
    exchange.send(
        responded.response().code(),
        ServiceCallMapper.responseHeaders(responded.response(), region, outcome),
        body);
  }

  private void finish(ServiceExchange exchange, Ticket ticket, Outcome outcome) {
    ledger.complete(ticket, outcome);
    if (outcome instanceof Outcome.NotRun) {
      exchange.fail(
          withNewTicket(
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

  private void passToOwner(long nowNanos, ServiceExchange exchange, Ticket ticket) {
    ServiceCall call = exchange.call();
    Optional<InstanceRecord> owner = listedInstance(ticket.owner());
    ForeignTicketDecision decision =
        ForeignTicketRule.decide(
            ticket, call.binding(), ownerView(nowNanos, call, owner), call.forwarded());
    exchange.step(
        nowNanos, "foreign-ticket", ticket.owner().value(), decision.getClass().getSimpleName());
    if (decision instanceof ForeignTicketDecision.PassToOwner) {
      client.startOnFreshConnection(
          ServiceCallMapper.toPeerRequest(
              call,
              owner.orElseThrow().peerAddress(),
              state.config().peerKey(),
              exchange.remaining(nowNanos).toMillis()),
          exchange.timeouts(nowNanos),
          result -> onOwnerResult(exchange, owner.orElseThrow().region(), result));
    } else if (decision instanceof ForeignTicketDecision.NeverExecutable) {
      exchange.fail(invalidTicket("The ticket was issued for another call."));
    } else {
      exchange.fail(
          ErrorReply.unknown(
              ErrorCode.OUTCOME_UNKNOWN,
              "The instance that issued the ticket cannot be asked whether the call ran."));
    }
  }

  private Optional<InstanceRecord> listedInstance(InstanceId owner) {
    return state.instanceList().entries().stream()
        .filter(record -> record.id().equals(owner.value()))
        .findFirst();
  }

  private OwnerView ownerView(long nowNanos, ServiceCall call, Optional<InstanceRecord> owner) {
    if (owner.isEmpty()) {
      return OwnerView.NOT_KNOWN;
    }
    InstanceId id = InstanceId.of(owner.get().id());
    boolean allowed = call.settings().allowedRegions().contains(RegionId.of(owner.get().region()));
    boolean reachable = state.membership().table().isReachable(nowNanos, id);
    return new OwnerView(true, reachable, allowed);
  }

  private void onOwnerResult(ServiceExchange exchange, String region, UpstreamResult result) {
    if (result instanceof UpstreamResult.Responded responded) {
      copyOwnerResponse(exchange, region, responded);
      return;
    }
    if (result instanceof UpstreamResult.Refused refused) {
      exchange.step(System.nanoTime(), "owner-refused", region, refused.code());
      exchange.fail(
          ErrorReply.notRun(
              ErrorCode.NO_CAPACITY, "The instance that issued the ticket did not run the call."));
      return;
    }
    exchange.fail(
        ErrorReply.unknown(
            ErrorCode.OUTCOME_UNKNOWN, "The instance that issued the ticket did not respond."));
  }

  private void copyOwnerResponse(
      ServiceExchange exchange, String region, UpstreamResult.Responded responded) {
    byte[] body;
    try {
      body = ResponseBodyReader.read(responded.response());
    } catch (IOException e) {
      exchange.fail(
          ErrorReply.unknown(
              ErrorCode.OUTCOME_UNKNOWN,
              "The response of the instance that issued the ticket was cut off."));
      return;
    }
    var response = responded.response();
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
