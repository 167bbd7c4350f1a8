package org.gentianslip.entry.gateway;

import java.util.Optional;
import org.gentianslip.core.customer.Customer;
import org.gentianslip.core.quota.QuotaGrant;
import org.gentianslip.core.route.Route;

/** Whether a request is executed, or how it is answered instead. Immutable and thread-safe. */
sealed interface AdmissionResult {

  /**
   * The request is executed.
   *
   * @param route the route on which it is executed, with the customer's rank and regions
   * @param customer the customer, if the request has one
   * @param dropsKey whether the header with the key is not passed on
   * @param grant what was counted for it in its customer's quota, if it has one
   */
  record Admitted(
      Route route, Optional<Customer> customer, boolean dropsKey, Optional<QuotaGrant> grant)
      implements AdmissionResult {

    /** Creates a result for a request that has not been counted in a quota. */
    Admitted(Route route, Optional<Customer> customer, boolean dropsKey) {
      this(route, customer, dropsKey, Optional.empty());
    }

    Admitted withGrant(QuotaGrant counted) {
      return new Admitted(route, customer, dropsKey, Optional.of(counted));
    }

    static Admitted without(Route route, boolean dropsKey) {
      return new Admitted(route, Optional.empty(), dropsKey);
    }

    /** Returns the id of the customer, or {@code none}, for logs. */
    String customerName() {
      return customer.map(c -> c.id().value()).orElse("none");
    }
  }

  /**
   * The request is not run and may be sent again.
   *
   * @param status a status that guarantees that the request did not run
   * @param reason the reason, for logs and metrics
   * @param retryAfterMillis the time after which it may be sent again, in milliseconds
   */
  record Refused(int status, String reason, long retryAfterMillis) implements AdmissionResult {}

  /**
   * The request is not run, and would not be if it were sent again.
   *
   * @param status the status of the response
   * @param reason what is wrong with the request, for logs and metrics
   * @param detail the inputs of the decision, for logs
   */
  record Rejected(int status, String reason, String detail) implements AdmissionResult {}
}
