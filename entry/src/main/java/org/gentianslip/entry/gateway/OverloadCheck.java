package org.gentianslip.entry.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.gentianslip.core.route.Route;

/**
 * The first step for a request: refuses it if the processor can't serve it in time.
 *
 * <p>Unless the processor is overloaded, it only records the wait of the request. Safe for use by
 * several threads.
 */
final class OverloadCheck {

  private final Gateway gateway;

  OverloadCheck(Gateway gateway) {
    this.gateway = gateway;
  }

  /**
   * Records the wait of a request and refuses it if necessary; returns whether it was answered.
   * Requests without a route are left to the checks that follow.
   */
  boolean refuses(BufferedHttpRequest request, ResponseWriter writer, boolean forwarded) {
    long now = System.nanoTime();
    ProcessorGuard processor = gateway.state().processor();
    if (!processor.recordWait(now, request)) {
      return false;
    }
    Optional<Route> route = gateway.admission().effectiveRoute(request, forwarded);
    if (route.isEmpty()) {
      return false;
    }
    String id = request.headers().get(gateway.edgeHeaders().requestId(), "");
    long remainingMillis = gateway.timeLimitMillis(request, route.get(), forwarded);
    OptionalLong retryMillis =
        processor.retryAfterMillis(now, id, request, route.get(), remainingMillis);
    if (retryMillis.isEmpty()) {
      return false;
    }
    String rank = Integer.toString(route.get().rank());
    gateway.metrics().countRequest(rank, "refused");
    gateway.metrics().countRefusal(rank, ProcessorGuard.OVERLOADED);
    writer.writeResponse(503, gateway.notRunHeaders(id, retryMillis.getAsLong()), new byte[0]);
    return true;
  }
}
