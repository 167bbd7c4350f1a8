package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The headers of a received head, of bounded number.
 *
 * <p>A header takes far more memory than its few bytes on the wire, so that a bound on the size of
 * a head alone does not bound its memory. Not thread-safe.
 */
class BoundedHeaders extends DefaultHttpHeaders {

  /** The number of headers that a head may have. */
  static final int MAX_HEADERS = 1_024;

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    requireRoom();
    return super.add(name, value);
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    requireRoom();
    return super.add(name, value);
  }

  private void requireRoom() {
    if (size() >= MAX_HEADERS) {
      throw new TooLongHttpHeaderException("more than " + MAX_HEADERS + " headers");
    }
  }
}
