package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The headers of a received response, which may state one length at most.
 *
 * <p>The decoder of the library takes the first one of several lengths in responses of HTTP/1.0, so
 * that a part of a body would be read as the whole. Not thread-safe.
 */
final class SingleLengthHeaders extends BoundedHeaders {

  /**
   * Adds a received header.
   *
   * @throws IllegalArgumentException if it states a second length
   */
  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
        && contains(HttpHeaderNames.CONTENT_LENGTH)) {
      throw new IllegalArgumentException(
          "second length " + value + " after " + get(HttpHeaderNames.CONTENT_LENGTH));
    }
    return super.add(name, value);
  }
}
