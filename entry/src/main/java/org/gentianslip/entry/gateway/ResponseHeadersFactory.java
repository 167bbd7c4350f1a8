package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Creates the headers of received responses. Stateless and safe for use by several threads. */
final class ResponseHeadersFactory implements HttpHeadersFactory {

  @Override
  public HttpHeaders newHeaders() {
    return new SingleLengthHeaders();
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return new SingleLengthHeaders();
  }
}
