package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.gentianslip.core.route.CallerLimits;

/**
 * Reads the requests of one connection, one after the other.
 *
 * <p>A request is handed on when it was read whole; later ones wait until it is answered. Used on
 * the connection's event loop only.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The messages of later requests that are kept before reading stops. */
  private static final int MAX_WAITING = 64;

  private final Supplier<CallerLimits> limits;
  private final BooleanSupplier leaving;
  private final RequestHandler receiver;
  private final Deque<HttpObject> waiting = new ArrayDeque<>();
  private ChannelHandlerContext ctx;
  private HttpRequest head;
  private ByteBuf body;
  private NettyResponseWriter sink;
  private boolean closing;
  private boolean partial;
  private long lastNanos = System.nanoTime();

  CallerConnection(
      Supplier<CallerLimits> limits, BooleanSupplier leaving, RequestHandler receiver) {
    this.limits = limits;
    this.leaving = leaving;
    this.receiver = receiver;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastNanos = System.nanoTime();
    if (closing || !(message instanceof HttpObject object)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (sink != null) {
      waiting.addLast(object);
      if (waiting.size() > MAX_WAITING) {
        ctx.channel().config().setAutoRead(false);
      }
      return;
    }
    accept(object);
  }

  private void accept(HttpObject object) {
    try {
      if (object instanceof HttpRequest request) {
        begin(request);
      }
      if (!closing && object instanceof HttpContent content) {
        add(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void begin(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      refuse(statusOf(request.decoderResult().cause()));
      return;
    }
    boolean ambiguous =
        request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
            && request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (ambiguous || request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      refuse(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > limits.get().bodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    head = request;
    partial = true;
    if (HttpUtil.is100ContinueExpected(request)) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private static HttpResponseStatus statusOf(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLong
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  private void add(HttpContent content) {
    if (head == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      refuse(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (content.content().isReadable()) {
      body = body == null ? Unpooled.buffer(content.content().readableBytes()) : body;
      body.writeBytes(content.content());
      if (body.readableBytes() > limits.get().bodyBytes()) {
        refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
    }
    if (content instanceof LastHttpContent) {
      handOn();
    }
  }

  private void handOn() {
    BufferedHttpRequest request = takeRequest();
    receiver.take(request, sink);
  }

  private BufferedHttpRequest takeRequest() {
    final byte[] bytes = body == null ? new byte[0] : ByteBufUtil.getBytes(body);
    HttpRequest read = head;
    sink = new NettyResponseWriter(ctx, read, leaving, this::answered);
    head = null;
    body = null;
    partial = false;
    return new BufferedHttpRequest(
        read.method(), read.uri(), read.headers(), bytes, System.nanoTime());
  }

  private void answered(boolean keepAlive) {
    sink = null;
    lastNanos = System.nanoTime();
    if (!keepAlive) {
      closing = true;
      return;
    }
    while (sink == null && !closing && !waiting.isEmpty()) {
      accept(waiting.removeFirst());
    }
    if (!ctx.channel().config().isAutoRead() && waiting.size() <= MAX_WAITING) {
      ctx.channel().config().setAutoRead(true);
    }
  }

  private void refuse(HttpResponseStatus status) {
    closing = true;
    LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "gateway: event=malformed status=%s peer=%s", status.code(), ctx.channel().remoteAddress());
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  /** Closes the connection if its caller takes too long or left it idle. */
  void sweep(long nowNanos) {
    if (sink != null || closing) {
      return;
    }
    long idleMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastNanos);
    if (partial && idleMillis > limits.get().headerTimeoutMillis()) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (!partial && idleMillis > limits.get().idleTimeoutMillis()) {
      ctx.close();
    }
  }

  /** Closes the connection if no request is on its way. */
  void closeIfIdle() {
    if (sink == null && !partial) {
      ctx.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (sink != null) {
      sink.writabilityChanged();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
    if (sink != null) {
      sink.callerGone();
    }
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOGGER.atFine().log("gateway: event=caller-connection-failed cause=%s", cause);
    context.close();
  }
}
