package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Creates headers of bounded number for received heads and trailers.
 *
 * <p>A header takes far more memory than its few bytes on the wire, so that a bound on the size of
 * a head alone does not bound its memory. Stateless and safe for use by several threads.
 */
final class BoundedHeadersFactory implements HttpHeadersFactory {

  /** The number of headers that a head may have. */
  static final int MAX_HEADERS = 1_024;

  @Override
  public HttpHeaders newHeaders() {
    return new BoundedHeaders();
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return new BoundedHeaders();
  }

  private static final class BoundedHeaders extends DefaultHttpHeaders {

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
}
