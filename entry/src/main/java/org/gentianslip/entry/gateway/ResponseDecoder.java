package org.gentianslip.entry.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.Predicate;

/**
 * Decodes responses, and asks of each one whether it answers a HEAD request and so has no body.
 *
 * <p>The question is put after all earlier responses have been passed on. Confined to one event
 * loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private final Predicate<HttpResponse> answersHead;

  ResponseDecoder(HttpDecoderConfig config, Predicate<HttpResponse> answersHead) {
    super(config);
    this.answersHead = answersHead;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message)
        || (message instanceof HttpResponse response && answersHead.test(response));
  }
}
