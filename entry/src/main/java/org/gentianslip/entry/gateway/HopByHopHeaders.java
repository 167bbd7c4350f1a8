package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Identifies and removes hop-by-hop headers, which apply to one connection only. Stateless. */
final class HopByHopHeaders {

  /** The hop-by-hop headers, and the headers that the gateway sets or answers itself. */
  private static final Set<String> NAMES =
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

  /** Returns whether a header, given in lower case, is hop-by-hop. */
  static boolean isHopByHop(String name) {
    return NAMES.contains(name);
  }

  /** Returns the names listed in the Connection header, in lower case. */
  static Set<String> connectionTokens(HttpHeaders headers) {
    Set<String> names = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }

  /** Removes all hop-by-hop headers. */
  static void removeFrom(HttpHeaders headers) {
    connectionTokens(headers).stream().filter(n -> !n.isEmpty()).forEach(headers::remove);
    NAMES.forEach(headers::remove);
  }
}
