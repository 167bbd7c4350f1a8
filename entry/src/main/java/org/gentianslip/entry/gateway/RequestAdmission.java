package org.gentianslip.entry.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.customer.Quota;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.quota.QuotaDecision;
import org.gentianslip.core.quota.QuotaGrant;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;

/**
 * Decides whether a request is executed, by a sequence of checks of which the first that fails
 * determines the answer.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class RequestAdmission {

  /** The retry delay sent while this instance cannot serve a request yet, in milliseconds. */
  private static final long NOT_READY_RETRY_MILLIS = 300;

  /**
   * The age of the published state from which an unknown path is refused, not answered with 404.
   */
  private static final long STALE_ROUTES_NANOS = TimeUnit.SECONDS.toNanos(8);

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final GatewayState state;
  private final EdgeHeaders edgeHeaders;

  RequestAdmission(GatewayState state, EdgeHeaders edgeHeaders) {
    this.state = state;
    this.edgeHeaders = edgeHeaders;
  }

  /**
   * Decides about a request.
   *
   * @param forwarded whether another instance forwards the request
   */
  AdmissionResult admit(BufferedHttpRequest request, boolean forwarded) {
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
      return unknownRoute(forwarded);
    }
    if (request.headers().get(edgeHeaders.requestId(), "").isEmpty()) {
      return new AdmissionResult.Rejected(BAD_REQUEST, "no-id");
    }
    if (forwarded && !route.get().allows(state.config().region())) {
      return refused("region-not-allowed");
    }
    return new AdmissionResult.Admitted(route.get(), Optional.empty());
  }

  private AdmissionResult unknownRoute(boolean forwarded) {
    boolean stale = state.confirmationAgeNanos(System.nanoTime()) > STALE_ROUTES_NANOS;
    return forwarded || stale
        ? refused("route-not-known")
        : new AdmissionResult.Rejected(NOT_FOUND, "unknown-path");
  }

  /**
   * Counts an identified request in its customer's quota.
   *
   * <p>Must be the last step, as a request that a later step refuses would stay counted. A
   * forwarded request was counted by the instance that received it from the caller.
   */
  AdmissionResult withinQuota(
      BufferedHttpRequest request, Route route, CustomerId customer, Quota quota) {
    String id = request.headers().get(edgeHeaders.requestId(), "");
    double tokens = quota.costOf(edgeHeaders.statedTokens(request.headers()));
    QuotaDecision decision = state.quotas().admit(System.nanoTime(), id, customer, quota, tokens);
    if (decision instanceof QuotaDecision.Refused refused) {
      return new AdmissionResult.Refused(
          TOO_MANY_REQUESTS, refused.reason(), refused.retryAfterMillis());
    }
    QuotaGrant grant = ((QuotaDecision.Admitted) decision).grant();
    return new AdmissionResult.Admitted(route, Optional.of(grant));
  }

  private static AdmissionResult refused(String reason) {
    return new AdmissionResult.Refused(UNAVAILABLE, reason, NOT_READY_RETRY_MILLIS);
  }
}
