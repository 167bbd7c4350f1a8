package org.gentianslip.entry.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
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
import org.gentianslip.core.limit.BufferQuota;
import org.gentianslip.core.limit.BufferShare;

/**
 * Writes the response to one request.
 *
 * <p>The request counts as unanswered from the creation of the writer until the response has been
 * written or the connection is closed. Confined to the event loop of its connection.
 */
final class NettyResponseWriter implements ResponseWriter {

  private final ChannelHandlerContext ctx;
  private final boolean headOnly;
  private final boolean closeRequested;
  private final BooleanSupplier leaving;
  private final UnansweredRequests unanswered;
  private final BufferShare unread;
  private final CompletionListener completionListener;
  private CallerListener listener;
  private boolean keepAlive;
  private boolean ended;

  /** Receives the end of a response. */
  interface CompletionListener {

    /**
     * Called when the response has been passed to the connection completely.
     *
     * @param keepAlive whether the connection may be used again
     */
    void onComplete(boolean keepAlive);
  }

  NettyResponseWriter(
      ChannelHandlerContext ctx,
      HttpRequest request,
      BooleanSupplier leaving,
      UnansweredRequests unanswered,
      BufferQuota responseBuffers,
      CompletionListener completionListener) {
    this.ctx = ctx;
    this.headOnly = request.method().equals(HttpMethod.HEAD);
    this.closeRequested = !HttpUtil.isKeepAlive(request);
    this.leaving = leaving;
    this.unanswered = unanswered;
    this.unread = BufferShare.of(responseBuffers);
    this.completionListener = completionListener;
    unanswered.add();
  }

  @Override
  public EventLoop eventLoop() {
    return ctx.channel().eventLoop();
  }

  @Override
  public void setListener(CallerListener newListener) {
    listener = newListener;
  }

  @Override
  public boolean isWritable() {
    return ctx.channel().isWritable();
  }

  @Override
  public boolean checkConnected() {
    Channel channel = ctx.channel();
    // During the shutdown requests are handled inside a read, which must not be nested.
    if (channel.isActive()
        && channel.config().isAutoRead()
        && !leaving.getAsBoolean()
        && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
      unsafe.read();
    }
    return channel.isActive();
  }

  @Override
  public void writeResponse(int status, HttpHeaders headers, byte[] body) {
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
    unread.resize(response.content().readableBytes());
    writeLast(response);
  }

  @Override
  public void beginStream(int status, HttpHeaders headers) {
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
    keepAlive = !closeRequested && !leaving.getAsBoolean();
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void writePart(byte[] part) {
    if (!ended && !headOnly) {
      ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
    }
  }

  @Override
  public void endStream() {
    if (!ended) {
      writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  private void writeLast(Object last) {
    ended = true;
    var written = ctx.writeAndFlush(last);
    written.addListener(
        f -> {
          unanswered.remove();
          unread.release();
        });
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    completionListener.onComplete(keepAlive);
  }

  @Override
  public void abort() {
    if (!ended) {
      ended = true;
      unanswered.remove();
      ctx.close();
    }
  }

  void onWritabilityChanged() {
    if (listener != null) {
      listener.onWritabilityChanged(isWritable());
    }
  }

  /** Returns whether the response has been written or the caller has disconnected. */
  boolean isEnded() {
    return ended;
  }

  void onDisconnect() {
    if (!ended) {
      ended = true;
      unanswered.remove();
      if (listener != null) {
        listener.onDisconnect();
      }
    }
  }
}
