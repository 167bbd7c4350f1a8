package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Creates headers of bounded number for received heads and trailers.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class BoundedHeadersFactory implements HttpHeadersFactory {

  @Override
  public HttpHeaders newHeaders() {
    return new BoundedHeaders();
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return new BoundedHeaders();
  }
}
