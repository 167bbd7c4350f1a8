package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;

/**
 * Holds a request that was read whole.
 *
 * <p>The array is not copied and must not be changed.
 *
 * @param method the method
 * @param target the path and the query as they came
 * @param headers the headers as they came
 * @param body the body; empty if there is none
 * @param receivedNanos when its last byte came, in nanoseconds of the monotonic clock
 */
@SuppressWarnings("ArrayRecordComponent")
record BufferedHttpRequest(
    HttpMethod method, String target, HttpHeaders headers, byte[] body, long receivedNanos) {

  /** Returns the path without the query. */
  String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the host name without the port. */
  String host() {
    String host = headers.get("Host", "");
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  /** Returns how long ago it was received, in milliseconds. */
  long elapsedMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos);
  }
}
