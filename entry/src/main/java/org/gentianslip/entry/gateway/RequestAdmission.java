package org.gentianslip.entry.gateway;

import java.util.Locale;
import java.util.Optional;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.published.Confirmation;
import org.gentianslip.core.quota.QuotaDecision;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.time.ClockReading;
import org.gentianslip.entry.clock.Clocks;

/**
 * Decides whether a request is executed, by a sequence of checks of which the first that fails
 * determines the answer.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class RequestAdmission {

  /** The retry delay sent while this instance cannot serve a request yet, in milliseconds. */
  private static final long NOT_READY_RETRY_MILLIS = 300;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final GatewayState state;
  private final EdgeHeaders edgeHeaders;
  private final RejectionRule rejection;
  private final CustomerAdmission customers;

  RequestAdmission(GatewayState state, EdgeHeaders edgeHeaders) {
    this.state = state;
    this.edgeHeaders = edgeHeaders;
    this.rejection = new RejectionRule(state.knowledge());
    this.customers = new CustomerAdmission(state, edgeHeaders, rejection);
  }

  /**
   * Decides about a request.
   *
   * @param forwarded whether another instance forwards the request
   */
  AdmissionResult admit(BufferedHttpRequest request, boolean forwarded) {
    // Read before the table, which is then at least as recent as was confirmed.
    final Optional<Confirmation> confirmation = state.knowledge().confirmation();
    Optional<RouteTable> table = state.published().routes();
    if (table.isEmpty()) {
      return refused("no-configuration");
    }
    if (state.refusing()) {
      return new AdmissionResult.Refused(
          UNAVAILABLE, Gateway.LEAVING, Gateway.LEAVING_RETRY_MILLIS);
    }
    Optional<Route> route =
        table.get().find(request.host().toLowerCase(Locale.ROOT), request.path());
    if (route.isEmpty()) {
      return unknownRoute(table.get(), confirmation, forwarded);
    }
    if (request.headers().get(edgeHeaders.requestId(), "").isEmpty()) {
      return new AdmissionResult.Rejected(BAD_REQUEST, "no-id", "");
    }
    AdmissionResult result =
        customers.admit(request, route.get(), table.get(), confirmation, forwarded);
    if (forwarded
        && result instanceof AdmissionResult.Admitted admitted
        && !admitted.route().allows(state.config().region())) {
      return refused("region-not-allowed");
    }
    if (!forwarded && result instanceof AdmissionResult.Admitted admitted) {
      return withinQuota(request, admitted);
    }
    return result;
  }

  /** Returns the route of a request with the rank and regions of its customer, if it has one. */
  Optional<Route> effectiveRoute(BufferedHttpRequest request, boolean forwarded) {
    return state
        .published()
        .routes()
        .flatMap(
            table ->
                table
                    .find(request.host().toLowerCase(Locale.ROOT), request.path())
                    .map(route -> customers.effectiveRoute(request, route, table, forwarded)));
  }

  /** Returns whether an admitted request may be sent once more under the present configuration. */
  boolean maySendAgain(
      BufferedHttpRequest request, AdmissionResult.Admitted admitted, boolean forwarded) {
    return customers.maySendAgain(request, admitted, forwarded);
  }

  private AdmissionResult unknownRoute(
      RouteTable table, Optional<Confirmation> confirmation, boolean forwarded) {
    ClockReading now = Clocks.read();
    if (forwarded || !rejection.mayReject(table, confirmation, now)) {
      return refused("route-not-known");
    }
    long ageMillis = confirmation.map(c -> c.ageNanos(now) / NANOS_PER_MILLI).orElse(-1L);
    return new AdmissionResult.Rejected(NOT_FOUND, "unknown-path", "age-millis=" + ageMillis);
  }

  /**
   * Counts an admitted request in its customer's quota.
   *
   * <p>Must be the last step, as a request that a later step refuses would stay counted. A
   * forwarded request was counted by the instance that received it from the caller.
   */
  private AdmissionResult withinQuota(
      BufferedHttpRequest request, AdmissionResult.Admitted admitted) {
    Optional<Quota> quota = admitted.customer().flatMap(Customer::quota);
    if (quota.isEmpty()) {
      return admitted;
    }
    QuotaDecision decision =
        state
            .quotas()
            .admit(
                System.nanoTime(),
                request.headers().get(edgeHeaders.requestId(), ""),
                admitted.customer().get().id(),
                quota.get(),
                quota.get().costOf(edgeHeaders.statedTokens(request.headers())));
    if (decision instanceof QuotaDecision.Refused refused) {
      return new AdmissionResult.Refused(
          TOO_MANY_REQUESTS, refused.reason(), refused.retryAfterMillis());
    }
    return admitted.withGrant(((QuotaDecision.Admitted) decision).grant());
  }

  private static AdmissionResult refused(String reason) {
    return new AdmissionResult.Refused(UNAVAILABLE, reason, NOT_READY_RETRY_MILLIS);
  }
}
