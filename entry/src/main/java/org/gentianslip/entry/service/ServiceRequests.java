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
 * Serves calls to plain services.
 *
 * <p>A call that may be repeated is balanced and retried; any other call runs under a ticket. Safe
 * for use by several threads.
 */
public final class ServiceRequests {

  private final RepeatableCalls repeatable;
  private final TicketedCalls ticketed;
  private final ServiceReport report;
  private final FleetState state;
  private final EntryDirectory directory;

  /** Creates the two ways of calling. */
  public ServiceRequests(
      FleetState state,
      EntryDirectory directory,
      UpstreamClient client,
      TicketIssuer mint,
      TicketLedger ledger,
      ServiceReport report) {
    this.report = report;
    this.state = state;
    this.directory = directory;
    this.repeatable = new RepeatableCalls(state, client);
    this.ticketed = new TicketedCalls(state, client, mint, ledger);
  }

  /** Takes an admitted call of a caller or a peer. */
  public void take(long nowNanos, ServiceCall call, ResponseSink sink) {
    var exchange = new ServiceExchange(call, sink, nowNanos, report);
    report.admitted();
    if (call.idempotent() && state.leaving()) {
      exchange.fail(
          ErrorReply.notRun(ErrorCode.LEAVING, "This instance is leaving.")
              .withEntries(directory.entriesFor(nowNanos, call.settings())));
      return;
    }
    if (call.idempotent()) {
      repeatable.run(nowNanos, exchange);
    } else {
      ticketed.run(nowNanos, exchange);
    }
  }
}
