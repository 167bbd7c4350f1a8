package org.gentianslip.entry.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;

/**
 * Decides by the head of a request whether its body is read at all.
 *
 * <p>Implementations do not block and are safe for use by several threads.
 */
@FunctionalInterface
public interface HeadCheck {

  /** Lets every request in. */
  HeadCheck NONE = request -> Optional.empty();

  /** Returns why the request is refused, if it is. */
  Optional<ErrorReply> refusal(HttpRequest request);
}
