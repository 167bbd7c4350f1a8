package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Selects the headers that are passed on between callers and backend servers. Stateless. */
final class HeaderFilter {

  private HeaderFilter() {}

  /** Returns the headers of a received response to pass on to the caller. */
  static HttpHeaders forCaller(EdgeHeaders edgeHeaders, String requestId, HttpHeaders headers) {
    var copy = new DefaultHttpHeaders(false);
    copy.add(headers);
    HopByHopHeaders.removeFrom(copy);
    copy.remove(Gateway.OUTCOME);
    ForwardHeaders.removeFromResponse(copy);
    if (!copy.contains(edgeHeaders.requestId())) {
      copy.set(edgeHeaders.requestId(), requestId);
    }
    return copy;
  }

  /**
   * Returns the headers of a request to pass on to a backend server or another instance, without
   * the time left, which is set when they are written.
   *
   * @param lastEventId the id of the event after which a stream continues, if one was passed on
   */
  static HttpHeaders forUpstream(
      EdgeHeaders edgeHeaders, BufferedHttpRequest request, Optional<String> lastEventId) {
    var copy = new DefaultHttpHeaders(false);
    Set<String> connectionTokens = HopByHopHeaders.connectionTokens(request.headers());
    for (var header : request.headers()) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      boolean dropped =
          HopByHopHeaders.isHopByHop(name)
              || edgeHeaders.isReserved(name)
              || name.startsWith(Gateway.OWN_PREFIX)
              || (connectionTokens.contains(name) && !edgeHeaders.isKept(name));
      if (!dropped) {
        copy.add(header.getKey(), header.getValue());
      }
    }
    lastEventId.ifPresent(id -> copy.set(edgeHeaders.lastEventId(), id));
    if (request.body().length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      copy.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return copy;
  }
}
