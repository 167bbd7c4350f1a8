package org.gentianslip.entry.gateway;

import java.util.Optional;
import org.gentianslip.core.quota.QuotaGrant;
import org.gentianslip.core.route.Route;

/** Whether a request is executed, or how it is answered instead. Immutable and thread-safe. */
sealed interface AdmissionResult {

  /**
   * The request is executed.
   *
   * @param route the route on which it is executed
   * @param grant what was counted for it in its customer's quota, if it has one
   */
  record Admitted(Route route, Optional<QuotaGrant> grant) implements AdmissionResult {}

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
   * @param outcome what is wrong with the request, for logs
   */
  record Rejected(int status, String outcome) implements AdmissionResult {}
}
