package org.gentianslip.entry.caller;

import io.jooby.Context;
import io.jooby.Jooby;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.KindId;
import org.gentianslip.entry.http.ErrorCode;
import org.gentianslip.entry.http.ErrorReply;
import org.gentianslip.entry.http.HeaderNames;
import org.gentianslip.entry.http.Json;
import org.gentianslip.entry.state.FleetState;
import org.gentianslip.settings.Customer;
import org.gentianslip.settings.SettingCatalog;

/**
 * Adds the HTTP route that lists the instances that a caller should use. Safe for use by several
 * threads.
 */
public final class EntriesRoute {

  private final FleetState state;
  private final EntryDirectory directory;

  /** Creates the route. */
  public EntriesRoute(FleetState state, EntryDirectory directory) {
    this.state = state;
    this.directory = directory;
  }

  /** Adds the route to a port. */
  public void addTo(Jooby app) {
    app.get("/v1/entries", this::entries);
  }

  private Object entries(Context ctx) {
    var settings = state.settings();
    if (settings == null) {
      return fail(ctx, ErrorCode.NOT_READY, "This instance has no settings yet.");
    }
    Customer customer;
    KindId kind;
    try {
      customer = settings.customer(CustomerId.of(ctx.query("customer").value(""))).orElse(null);
      kind = KindId.of(ctx.query("kind").value(""));
    } catch (IllegalArgumentException e) {
      return fail(ctx, ErrorCode.MALFORMED_REQUEST, e.getMessage() + ".");
    }
    if (customer == null) {
      return fail(ctx, ErrorCode.UNKNOWN_CUSTOMER, "The customer is not known.");
    }
    if (!settings.declaresKind(customer, kind)) {
      return fail(ctx, ErrorCode.UNKNOWN_KIND, "The kind of work is not known.");
    }
    var request = RequestSettings.of(settings, customer.id(), state.config().region(), kind);
    var body = Json.object();
    body.set("entries", Json.tree(directory.entriesFor(System.nanoTime(), request)));
    body.put("validMillis", request.effective().get(SettingCatalog.ENTRIES_LIFETIME).toMillis());
    ctx.setResponseType("application/json");
    return ctx.send(Json.bytes(body));
  }

  private static Object fail(Context ctx, ErrorCode code, String message) {
    var reply = ErrorReply.notRun(code, message);
    ctx.setResponseCode(code.status());
    ctx.setResponseType("application/json");
    ctx.setResponseHeader(HeaderNames.OUTCOME, reply.outcome().text());
    return ctx.send(reply.toJson());
  }
}
