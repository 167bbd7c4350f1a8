package org.gentianslip.standin.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Dispatches the complete requests of one connection to a handler.
 *
 * <p>Confined to the event loop of its connection.
 */
final class HttpRequestDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final FluentLogger log = FluentLogger.forEnclosingClass();

  private final HttpHandler handler;
  private HttpExchange current;

  HttpRequestDispatcher(HttpHandler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    var exchange = HttpExchange.of(ctx.channel(), request);
    current = exchange;
    if (request.decoderResult().isFailure()) {
      exchange.respondError(400, "malformed_request", "The request is not valid HTTP.");
      return;
    }
    try {
      handler.handle(exchange);
    } catch (RuntimeException e) {
      log.atWarning().withCause(e).log(
          "standin: handler of %s %s failed.", exchange.method(), exchange.path());
      exchange.respondError(500, "internal", "The handler of the stand-in failed.");
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
