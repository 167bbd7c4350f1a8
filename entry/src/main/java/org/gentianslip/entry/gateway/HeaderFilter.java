package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Copies the headers that go on from one side of the gateway to the other. Stateless. */
final class HeaderFilter {

  private HeaderFilter() {}

  /** Returns the headers of a backend server's answer that go on to the caller. */
  static HttpHeaders toCaller(EdgeHeaders edge, String requestId, HttpHeaders headers) {
    var copy = new DefaultHttpHeaders(false);
    copy.add(headers);
    HopByHopHeaders.removeConnectionHeaders(copy);
    copy.remove(Gateway.OUTCOME);
    if (!copy.contains(edge.requestId())) {
      copy.set(edge.requestId(), requestId);
    }
    return copy;
  }

  /**
   * Returns the caller's headers that go on to a backend server or another instance.
   *
   * @param remainingMillis how long the request may still take, in milliseconds
   * @param lastEvent the event behind which a stream continues, if one was passed on
   */
  static HttpHeaders toBackend(
      EdgeHeaders edge,
      BufferedHttpRequest request,
      long remainingMillis,
      Optional<String> lastEvent) {
    var copy = new DefaultHttpHeaders(false);
    Set<String> named = HopByHopHeaders.namedByConnection(request.headers());
    for (var header : request.headers()) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      boolean dropped =
          HopByHopHeaders.isConnectionHeader(name)
              || edge.isReserved(name)
              || name.startsWith(Gateway.OWN_PREFIX)
              || (named.contains(name) && !edge.isKept(name));
      if (!dropped) {
        copy.add(header.getKey(), header.getValue());
      }
    }
    copy.set(edge.deadlineMillis(), Long.toString(remainingMillis));
    lastEvent.ifPresent(l -> copy.set(edge.lastEventId(), l));
    if (request.body().length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      copy.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return copy;
  }
}
