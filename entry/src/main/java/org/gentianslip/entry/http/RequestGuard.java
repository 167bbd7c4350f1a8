package org.gentianslip.entry.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Checks the requests on one connection before the server's own handler.
 *
 * <p>It refuses a request by its head, before any of its body is buffered, and then closes the
 * connection. Requests whose head is incomplete or whose sender is too slow never reach a route.
 * Used only by the connection's event loop.
 */
final class RequestGuard extends ChannelInboundHandlerAdapter {

  private static final long RECEIVE_TIMEOUT_SECONDS = 30;

  private final HeadCheck check;
  private final long maxBodyBytes;
  private boolean refused;
  private HttpRequest currentRequest;
  private long receivedBytes;
  private Future<?> receiveTimeout;

  RequestGuard(HeadCheck check, long maxBodyBytes) {
    this.check = check;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    if (refused) {
      ReferenceCountUtil.release(msg);
      return;
    }
    if (msg instanceof HttpRequest request) {
      Optional<ErrorReply> refusal = refusalOf(request);
      if (refusal.isPresent()) {
        refuse(ctx, request, refusal.get());
        ReferenceCountUtil.release(msg);
        return;
      }
      startReceiveTimeout(ctx);
      currentRequest = request;
      receivedBytes = 0;
    }
    if (msg instanceof HttpContent content && exceedsMaxBody(content)) {
      refuse(ctx, currentRequest, bodyTooLarge());
      ReferenceCountUtil.release(msg);
      return;
    }
    if (msg instanceof LastHttpContent) {
      stopReceiveTimeout();
    }
    ctx.fireChannelRead(msg);
  }

  private Optional<ErrorReply> refusalOf(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      return Optional.of(malformed(request.decoderResult().cause()));
    }
    if (RequestFraming.refusalStatus(request).isPresent()) {
      return Optional.of(
          ErrorReply.notRun(
              ErrorCode.MALFORMED_REQUEST, "The end of the request's body is not known."));
    }
    if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
      return Optional.of(bodyTooLarge());
    }
    return check.refusal(request);
  }

  /** Counts a chunk of the body, because the head need not declare the body's length. */
  private boolean exceedsMaxBody(HttpContent content) {
    receivedBytes += content.content().readableBytes();
    return currentRequest != null && receivedBytes > maxBodyBytes;
  }

  private ErrorReply bodyTooLarge() {
    return ErrorReply.notRun(
        ErrorCode.BODY_TOO_LARGE,
        "The body is larger than the " + maxBodyBytes + " bytes that this instance accepts.");
  }

  private static ErrorReply malformed(Throwable cause) {
    return cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
        ? ErrorReply.notRun(
            ErrorCode.HEADERS_TOO_LARGE, "The request line or the headers are too large.")
        : ErrorReply.notRun(ErrorCode.MALFORMED_REQUEST, "The request is malformed.");
  }

  private void refuse(ChannelHandlerContext ctx, HttpRequest request, ErrorReply reply) {
    refused = true;
    stopReceiveTimeout();
    byte[] body = reply.toJson();
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.code().status()),
            Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    response.headers().set(HeaderNames.OUTCOME, reply.outcome().text());
    reply.headers().forEach(response.headers()::set);
    String id = request.headers().get(HeaderNames.REQUEST_ID);
    if (id != null) {
      response.headers().set(HeaderNames.REQUEST_ID, id);
    }
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private void startReceiveTimeout(ChannelHandlerContext ctx) {
    stopReceiveTimeout();
    receiveTimeout =
        ctx.executor().schedule(() -> ctx.close(), RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void stopReceiveTimeout() {
    if (receiveTimeout != null) {
      receiveTimeout.cancel(false);
      receiveTimeout = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    stopReceiveTimeout();
    ctx.fireChannelInactive();
  }
}
