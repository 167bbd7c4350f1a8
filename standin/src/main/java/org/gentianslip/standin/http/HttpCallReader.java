package org.gentianslip.standin.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Hands complete requests of one connection to a handler.
 *
 * <p>Confined to the event loop of its connection.
 */
final class HttpCallReader extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final FluentLogger log = FluentLogger.forEnclosingClass();

  private final HttpHandler handler;
  private HttpCall current;

  HttpCallReader(HttpHandler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    var call = HttpCall.of(ctx.channel(), request);
    current = call;
    if (request.decoderResult().isFailure()) {
      call.answerError(400, "malformed_request", "The request is no valid HTTP.");
      return;
    }
    try {
      handler.handle(call);
    } catch (RuntimeException e) {
      log.atWarning().withCause(e).log("standin: %s %s failed.", call.method(), call.path());
      call.answerError(500, "internal", "The stand-in failed.");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (current != null) {
      current.runCloseAction();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
