package org.gentianslip.entry.relay;

import java.util.Map;

/**
 * Holds a request to a backend server or a peer.
 *
 * <p>The body is not copied and must not be changed. Safe for use by several threads.
 *
 * @param method the HTTP method
 * @param url the address
 * @param headers the headers; hop-by-hop headers of the caller are never among them
 * @param body the body, or null
 * @param contentType the type of the body, or null
 * @param notAfterNanos when the right to send it ends, in nanoseconds of the monotonic clock
 */
@SuppressWarnings("ArrayRecordComponent")
public record UpstreamRequest(
    String method,
    String url,
    Map<String, String> headers,
    byte[] body,
    String contentType,
    long notAfterNanos) {

  /** Copies the headers. */
  public UpstreamRequest {
    headers = Map.copyOf(headers);
  }
}
