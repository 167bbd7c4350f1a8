package org.gentianslip.entry.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/**
 * Checks by the head of a request whether the end of its body is known.
 *
 * <p>The bytes after a body whose end is taken wrongly would be read as another request. Stateless
 * and safe for use by several threads.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9112#section-6.3">RFC 9112, section 6.3</a>
 */
public final class RequestFraming {

  private RequestFraming() {}

  /**
   * Returns the status with which to refuse a request, or empty if the end of its body is known.
   * The connection of a refused request must be closed.
   */
  public static Optional<HttpResponseStatus> refusalStatus(HttpRequest request) {
    TransferCodings codings = TransferCodings.of(request.headers());
    if (codings.isEmpty()) {
      return Optional.empty();
    }
    boolean lengthGiven = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    boolean codingsDefined = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    if (lengthGiven || !codingsDefined || !codings.endsWithChunked()) {
      return Optional.of(HttpResponseStatus.BAD_REQUEST);
    }
    return codings.isChunkedOnly()
        ? Optional.empty()
        : Optional.of(HttpResponseStatus.NOT_IMPLEMENTED);
  }
}
