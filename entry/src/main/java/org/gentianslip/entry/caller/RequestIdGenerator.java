package org.gentianslip.entry.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RequestId;

/**
 * Generates the ids of requests.
 *
 * <p>All ids generated in one incarnation are different. Safe for use by several threads.
 */
public final class RequestIdGenerator {

  private static final int MAX_CALLER_ID_LENGTH = 64;

  private final String prefix;
  private final AtomicLong next = new AtomicLong(1);

  /** Creates a generator for one incarnation of an instance. */
  public RequestIdGenerator(InstanceId instance, Incarnation incarnation) {
    this.prefix = instance.value() + "-" + incarnation + "-";
  }

  /**
   * Returns the caller's own id if it is valid, and a new id otherwise.
   *
   * @param callerId the header {@code X-Request-Id}, or null
   */
  public RequestId callerIdOrNew(String callerId) {
    if (callerId != null && callerId.length() <= MAX_CALLER_ID_LENGTH) {
      try {
        return RequestId.of(callerId);
      } catch (IllegalArgumentException e) {
        return newId();
      }
    }
    return newId();
  }

  private RequestId newId() {
    return RequestId.of(prefix + next.getAndIncrement());
  }
}
