package org.gentianslip.entry.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;

/**
 * Decides by the head of a request, which is its request line and headers, whether its body is
 * read.
 *
 * <p>Implementations do not block and are safe for use by several threads.
 */
@FunctionalInterface
public interface HeadCheck {

  /** Refuses no request. */
  HeadCheck NONE = request -> Optional.empty();

  /** Returns the error response to a refused request, or empty if the request is not refused. */
  Optional<ErrorReply> refusal(HttpRequest request);
}
