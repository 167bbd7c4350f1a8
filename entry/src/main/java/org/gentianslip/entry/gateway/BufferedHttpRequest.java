package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.quarantine.RequestFingerprint;

/**
 * An HTTP request that has been read completely.
 *
 * <p>The array is not copied and must not be modified.
 *
 * @param method the method
 * @param target the path and the query as received
 * @param headers the headers as received
 * @param body the body, empty if there is none
 * @param receivedNanos when the last byte was received, in nanoseconds of the monotonic clock
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

  /** Returns a text that identifies requests for the same work. */
  String fingerprint() {
    return RequestFingerprint.of(host(), method.name(), target, body);
  }

  /** Returns the time since the request was received, in milliseconds. */
  long elapsedMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos);
  }
}
