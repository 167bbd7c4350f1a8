package org.gentianslip.entry.service;

import org.gentianslip.core.ticket.TicketIssuer;
import org.gentianslip.core.ticket.TicketLedger;
import org.gentianslip.entry.caller.EntryDirectory;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.ResponseSink;
import org.gentianslip.entry.relay.UpstreamClient;
import org.gentianslip.entry.state.FleetState;

/**
 * Handles calls to plain services.
 *
 * <p>An idempotent call is balanced over the backend servers and retried; any other call runs at
 * most once, under a ticket. Safe for use by several threads.
 */
public final class ServiceCallHandler {

  private final IdempotentCalls idempotentCalls;
  private final TicketedCalls ticketedCalls;
  private final ServiceCallReporter reporter;
  private final FleetState state;
  private final EntryDirectory directory;

  /** Creates a handler for idempotent and for ticketed calls. */
  public ServiceCallHandler(
      FleetState state,
      EntryDirectory directory,
      UpstreamClient client,
      TicketIssuer issuer,
      TicketLedger ledger,
      ServiceCallReporter reporter) {
    this.reporter = reporter;
    this.state = state;
    this.directory = directory;
    this.idempotentCalls = new IdempotentCalls(state, client);
    this.ticketedCalls = new TicketedCalls(state, client, issuer, ledger);
  }

  /** Handles an admitted call of a caller or a peer. */
  public void handle(long nowNanos, ServiceCall call, ResponseSink sink) {
    var exchange = new ServiceExchange(call, sink, nowNanos, reporter);
    reporter.admitted();
    if (call.isIdempotent() && state.leaving()) {
      exchange.fail(
          ErrorReply.notRun(ErrorCode.LEAVING, "This instance is leaving.")
              .withEntries(directory.entriesFor(nowNanos, call.settings())));
      return;
    }
    if (call.isIdempotent()) {
      idempotentCalls.run(nowNanos, exchange);
    } else {
      ticketedCalls.run(nowNanos, exchange);
    }
  }
}
