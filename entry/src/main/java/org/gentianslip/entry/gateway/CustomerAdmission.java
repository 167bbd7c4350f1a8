package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.customer.CustomerTable;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.published.Confirmation;
import org.gentianslip.core.published.RevocationRule;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.time.ClockReading;
import org.gentianslip.entry.clock.Clocks;

/**
 * Finds the customer of a request and what it may use.
 *
 * <p>A caller's request carries a key. A forwarded request names the customer, whose key the
 * instance that received it from the caller has checked. Keys appear in no log line and no result.
 * Stateless and safe for use by several threads.
 */
final class CustomerAdmission {

  /** The reason for refusing a forwarded request whose customer is not known here. */
  static final String CUSTOMER_UNKNOWN = "customer-unknown";

  /** The reason for refusing keys because the configuration may be out of date. */
  static final String KEYS_UNCONFIRMED = "keys-unconfirmed";

  /** The reason for refusing a request without a known key, which may be valid elsewhere. */
  private static final String KEY_NOT_KNOWN = "key-not-known";

  /** The reason for not continuing a request whose key was removed since it was admitted. */
  static final String KEY_REVOKED = "key-revoked";

  /** The reason for refusing a customer on a route if no region may serve both. */
  static final String NO_COMMON_REGION = "no-common-region";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The retry delay, in milliseconds; others or the next confirmation can serve after it. */
  private static final long RETRY_MILLIS = 300;

  /** The retry delay, in milliseconds, if only another configuration allows the request. */
  private static final long CONFIGURATION_RETRY_MILLIS = 30_000;

  private static final int UNAUTHORIZED = 401;
  private static final int UNAVAILABLE = 503;

  private final GatewayState state;
  private final EdgeHeaders edgeHeaders;
  private final RejectionRule rejection;

  CustomerAdmission(GatewayState state, EdgeHeaders edgeHeaders, RejectionRule rejection) {
    this.state = state;
    this.edgeHeaders = edgeHeaders;
    this.rejection = rejection;
  }

  /**
   * Decides about a request on a route.
   *
   * @param confirmation what is known of the table, read before it
   */
  AdmissionResult admit(
      BufferedHttpRequest request,
      Route route,
      RouteTable table,
      Optional<Confirmation> confirmation,
      boolean forwarded) {
    if (forwarded) {
      return admitForwarded(request, route, table);
    }
    if (table.customers().isEmpty() || route.isPublic()) {
      return AdmissionResult.Admitted.without(route, table.customers().isPresent());
    }
    ClockReading now = Clocks.read();
    Optional<String> fault = keyFault(request.headers());
    if (fault.isPresent()) {
      return withoutCustomer(fault.get(), "", now, confirmation, table);
    }
    RevocationRule rule = state.config().bounds().revocation();
    if (!rule.mayAccept(confirmation, now)) {
      long ageMillis = confirmation.map(c -> c.ageNanos(now) / 1_000_000).orElse(-1L);
      LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "gateway: event=keys-unconfirmed age-millis=%s limit-millis=%s version=%s",
          ageMillis, rule.limitMillis(), table.version());
      return refused(KEYS_UNCONFIRMED);
    }
    Optional<Customer> customer = findByKey(table.customers().get(), request.headers());
    if (customer.isEmpty()) {
      return unknownKey(request.headers(), now, confirmation, table);
    }
    return restricted(route, customer.get());
  }

  private AdmissionResult admitForwarded(
      BufferedHttpRequest request, Route route, RouteTable table) {
    List<String> names = ForwardHeaders.customers(request.headers());
    if (names.isEmpty() && (table.customers().isEmpty() || route.isPublic())) {
      return AdmissionResult.Admitted.without(route, table.customers().isPresent());
    }
    Optional<Customer> customer =
        names.size() == 1
            ? ForwardHeaders.parseCustomer(names.get(0))
                .flatMap(id -> table.customers().flatMap(c -> c.find(id)))
            : Optional.empty();
    Optional<Route> effective = customer.flatMap(route::forCustomer);
    if (effective.isEmpty()) {
      return refused(CUSTOMER_UNKNOWN);
    }
    return new AdmissionResult.Admitted(effective.get(), customer, true);
  }

  /** Returns a route as the customer of a request may use it; unchanged without a known one. */
  Route effectiveRoute(
      BufferedHttpRequest request, Route route, RouteTable table, boolean forwarded) {
    if (table.customers().isEmpty() || route.isPublic()) {
      return route;
    }
    CustomerTable customers = table.customers().get();
    Optional<Customer> customer =
        forwarded
            ? ForwardHeaders.customers(request.headers()).stream()
                .findFirst()
                .flatMap(ForwardHeaders::parseCustomer)
                .flatMap(customers::find)
            : findByKey(customers, request.headers());
    return customer.flatMap(route::forCustomer).orElse(route);
  }

  private static AdmissionResult restricted(Route route, Customer customer) {
    return route
        .forCustomer(customer)
        .<AdmissionResult>map(r -> new AdmissionResult.Admitted(r, Optional.of(customer), true))
        .orElseGet(
            () ->
                new AdmissionResult.Refused(
                    UNAVAILABLE, NO_COMMON_REGION, CONFIGURATION_RETRY_MILLIS));
  }

  /** Returns what the headers lack to name one key, if anything. */
  private Optional<String> keyFault(HttpHeaders headers) {
    List<String> keys = headers.getAll(edgeHeaders.customerKey());
    if (keys.size() != 1) {
      return Optional.of(keys.isEmpty() ? "no-key" : "several-keys");
    }
    return keys.get(0).isEmpty() ? Optional.of("empty-key") : Optional.empty();
  }

  private AdmissionResult unknownKey(
      HttpHeaders headers,
      ClockReading now,
      Optional<Confirmation> confirmation,
      RouteTable table) {
    byte[] key = keyOf(headers);
    return key.length > CustomerTable.MAX_KEY_BYTES
        ? withoutCustomer("long-key", "", now, confirmation, table)
        : withoutCustomer(
            "unknown-key",
            "last-holder=" + state.formerKeys().describe(key),
            now,
            confirmation,
            table);
  }

  /**
   * Answers a request that has no customer. Another configuration may hold its key or need none.
   * The age of the confirmation also counts the time during which the machine was suspended.
   */
  private AdmissionResult withoutCustomer(
      String reason,
      String detail,
      ClockReading now,
      Optional<Confirmation> confirmation,
      RouteTable table) {
    if (!rejection.mayReject(table, confirmation, now)) {
      return refused(KEY_NOT_KNOWN);
    }
    long ageMillis =
        confirmation.map(c -> TimeUnit.NANOSECONDS.toMillis(c.ageNanos(now))).orElse(-1L);
    return new AdmissionResult.Rejected(
        UNAUTHORIZED, reason, "age-millis=" + ageMillis + " " + detail);
  }

  private static AdmissionResult refused(String reason) {
    return new AdmissionResult.Refused(UNAVAILABLE, reason, RETRY_MILLIS);
  }

  /** Returns whether an admitted request may be sent once more under the present configuration. */
  boolean maySendAgain(
      BufferedHttpRequest request, AdmissionResult.Admitted admitted, boolean forwarded) {
    if (admitted.customer().isEmpty()) {
      return true;
    }
    CustomerId id = admitted.customer().get().id();
    Optional<CustomerTable> customers = state.published().routes().flatMap(RouteTable::customers);
    return customers.isEmpty()
        || (forwarded
            ? customers.get().find(id).isPresent()
            : findByKey(customers.get(), request.headers())
                .map(c -> c.id().equals(id))
                .orElse(false));
  }

  private Optional<Customer> findByKey(CustomerTable customers, HttpHeaders headers) {
    return customers.findByKey(keyOf(headers));
  }

  /** Returns the bytes of the key as received, which are the characters of its header. */
  private byte[] keyOf(HttpHeaders headers) {
    return headers.get(edgeHeaders.customerKey(), "").getBytes(StandardCharsets.ISO_8859_1);
  }
}
