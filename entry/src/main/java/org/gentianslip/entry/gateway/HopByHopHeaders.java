package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Knows the headers that concern one connection only. Stateless. */
final class HopByHopHeaders {

  private static final Set<String> CONNECTION_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private HopByHopHeaders() {}

  /** Returns whether a header, in lower case, is not passed on. */
  static boolean isConnectionHeader(String name) {
    return CONNECTION_HEADERS.contains(name);
  }

  /** Returns the headers, in lower case, that the header Connection names. */
  static Set<String> namedByConnection(HttpHeaders headers) {
    Set<String> names = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }

  /** Removes the headers that concern one connection. */
  static void removeConnectionHeaders(HttpHeaders headers) {
    namedByConnection(headers).stream().filter(n -> !n.isEmpty()).forEach(headers::remove);
    CONNECTION_HEADERS.forEach(headers::remove);
  }
}
