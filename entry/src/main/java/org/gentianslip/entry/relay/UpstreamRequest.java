package org.gentianslip.entry.relay;

import java.util.Map;

/**
 * A request to a backend server or a peer.
 *
 * <p>The body is not copied and must not be modified. Safe for use by several threads.
 *
 * @param method the HTTP method
 * @param url the URL
 * @param headers the headers; they never include hop-by-hop headers of the caller
 * @param body the body, or null
 * @param contentType the content type of the body, or null
 * @param sendDeadlineNanos when the permission to send it ends, in nanoseconds of the monotonic
 *     clock
 */
@SuppressWarnings("ArrayRecordComponent")
public record UpstreamRequest(
    String method,
    String url,
    Map<String, String> headers,
    byte[] body,
    String contentType,
    long sendDeadlineNanos) {

  /** Copies the headers. */
  public UpstreamRequest {
    headers = Map.copyOf(headers);
  }
}
