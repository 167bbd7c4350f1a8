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
public final class RequestIds {

  private static final int MAX_CALLER_ID = 64;

  private final String prefix;
  private final AtomicLong next = new AtomicLong(1);

  /** Creates a generator for one incarnation of an instance. */
  public RequestIds(InstanceId instance, Incarnation incarnation) {
    this.prefix = instance.value() + "-" + incarnation + "-";
  }

  /**
   * Returns the caller's own id if it is valid, and a new id otherwise.
   *
   * @param fromCaller the header {@code X-Request-Id}, or null
   */
  public RequestId choose(String fromCaller) {
    if (fromCaller != null && fromCaller.length() <= MAX_CALLER_ID) {
      try {
        return RequestId.of(fromCaller);
      } catch (IllegalArgumentException e) {
        return mint();
      }
    }
    return mint();
  }

  private RequestId mint() {
    return RequestId.of(prefix + next.getAndIncrement());
  }
}
