package org.gentianslip.entry.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.BooleanSupplier;

/** Writes the answer to one request to its connection. Used on the connection's event loop only. */
final class NettyResponseWriter implements ResponseWriter {

  private final ChannelHandlerContext ctx;
  private final boolean headOnly;
  private final boolean asksClose;
  private final BooleanSupplier leaving;
  private final AnswerEnd onEnd;
  private CallerListener events;
  private boolean keepAlive;
  private boolean ended;

  /** Hears that the answer was written. */
  interface AnswerEnd {

    /** The answer was written; the connection may or may not be used again. */
    void ended(boolean keepAlive);
  }

  NettyResponseWriter(
      ChannelHandlerContext ctx, HttpRequest request, BooleanSupplier leaving, AnswerEnd onEnd) {
    this.ctx = ctx;
    this.headOnly = request.method().equals(HttpMethod.HEAD);
    this.asksClose = !HttpUtil.isKeepAlive(request);
    this.leaving = leaving;
    this.onEnd = onEnd;
  }

  @Override
  public EventLoop loop() {
    return ctx.channel().eventLoop();
  }

  @Override
  public void listen(CallerListener newEvents) {
    events = newEvents;
  }

  @Override
  public boolean isWritable() {
    return ctx.channel().isWritable();
  }

  @Override
  public void answer(int status, HttpHeaders headers, byte[] body) {
    if (ended) {
      return;
    }
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    response.headers().set(headers);
    if (status != HttpResponseStatus.NO_CONTENT.code()
        && status != HttpResponseStatus.NOT_MODIFIED.code()
        && !(headOnly && headers.contains(HttpHeaderNames.CONTENT_LENGTH))) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    decideKeepAlive(response);
    finish(response);
  }

  @Override
  public void begin(int status, HttpHeaders headers) {
    if (ended) {
      return;
    }
    var response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    decideKeepAlive(response);
    ctx.write(response);
  }

  private void decideKeepAlive(HttpResponse response) {
    keepAlive = !asksClose && !leaving.getAsBoolean();
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void write(byte[] part) {
    if (!ended && !headOnly) {
      ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
    }
  }

  @Override
  public void end() {
    if (!ended) {
      finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  private void finish(Object last) {
    ended = true;
    var written = ctx.writeAndFlush(last);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    onEnd.ended(keepAlive);
  }

  @Override
  public void abort() {
    if (!ended) {
      ended = true;
      ctx.close();
    }
  }

  void writabilityChanged() {
    if (events != null) {
      events.writabilityChanged(isWritable());
    }
  }

  void callerGone() {
    if (!ended) {
      ended = true;
      if (events != null) {
        events.gone();
      }
    }
  }
}
