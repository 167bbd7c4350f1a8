package org.gentianslip.entry.service;

import java.util.Optional;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.ticket.TicketBinding;
import org.gentianslip.entry.caller.RequestSettings;
import org.gentianslip.settings.Service;

/**
 * A call to a plain service, which is any backend service that serves no model.
 *
 * <p>The body is not copied and must not be modified. Safe for use by several threads.
 *
 * @param id the id of the request
 * @param callId the id under which the service records the call
 * @param settings the customer, the kind of work and the settings in force for them
 * @param service the service
 * @param method the HTTP method
 * @param path the path and query below the service's prefix, with the leading slash
 * @param contentType the content type of the body, or null
 * @param body the body, empty if there is none
 * @param ticket the text of the ticket that came with the call, if any
 * @param forwarded whether another instance passed the call to this one
 * @param deadlineNanos the deadline of the call, in nanoseconds of the monotonic clock
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
    RequestId id,
    String callId,
    RequestSettings settings,
    Service service,
    String method,
    String path,
    String contentType,
    byte[] body,
    Optional<String> ticket,
    boolean forwarded,
    long deadlineNanos) {

  /** Returns whether the call is idempotent and so may be repeated. */
  boolean isIdempotent() {
    int query = path.indexOf('?');
    return service.isIdempotent(method, query < 0 ? path : path.substring(0, query));
  }

  /** Returns the binding that a ticket for this call must have. */
  TicketBinding binding() {
    return TicketBinding.of(settings.customer(), service.id(), method, path);
  }
}
