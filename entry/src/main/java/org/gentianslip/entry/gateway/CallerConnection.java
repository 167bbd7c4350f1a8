package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.gentianslip.core.limit.BufferShare;
import org.gentianslip.core.route.CallerLimits;
import org.gentianslip.entry.http.RequestFraming;

/**
 * Reads the requests of one connection, one after the other.
 *
 * <p>A request is passed to the handler once it has been read completely. Pipelined requests wait
 * until the response has been written and the caller has read most of it. Confined to the event
 * loop of the connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The number of pipelined messages to buffer before reading is paused. */
  private static final int MAX_PENDING = 64;

  /** The bytes of pipelined messages to buffer before reading is paused. */
  private static final int MAX_PENDING_BYTES = 65_536;

  /** The time in which a request is received completely, in milliseconds. */
  static final long REQUEST_TIMEOUT_MILLIS = 60_000;

  private final Supplier<CallerLimits> limits;
  private final BooleanSupplier leaving;
  private final UnansweredRequests unanswered;
  private final CallerBuffers buffers;
  private final BufferShare received;
  private final RequestHandler handler;
  private final Deque<HttpObject> pending = new ArrayDeque<>();
  private ChannelHandlerContext ctx;
  private int pendingBytes;
  private HttpRequest head;
  private ByteBuf body;
  private NettyResponseWriter writer;
  private boolean closing;
  private boolean readingRequest;
  private long lastActiveNanos = System.nanoTime();
  private long requestBegunNanos;

  CallerConnection(
      Supplier<CallerLimits> limits,
      BooleanSupplier leaving,
      UnansweredRequests unanswered,
      CallerBuffers buffers,
      RequestHandler handler) {
    this.limits = limits;
    this.leaving = leaving;
    this.unanswered = unanswered;
    this.buffers = buffers;
    this.received = BufferShare.of(buffers.requests());
    this.handler = handler;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastActiveNanos = System.nanoTime();
    if (closing || !(message instanceof HttpObject object)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (mayProcess() && pending.isEmpty()) {
      process(object);
      return;
    }
    pending.addLast(object);
    pendingBytes += contentBytes(object);
    if (isPendingFull()) {
      ctx.channel().config().setAutoRead(false);
    }
  }

  /** Returns whether the response to the last request was written and most of it was read. */
  private boolean mayProcess() {
    return writer == null && ctx.channel().isWritable();
  }

  private boolean isPendingFull() {
    return pending.size() > MAX_PENDING || pendingBytes > MAX_PENDING_BYTES;
  }

  private static int contentBytes(HttpObject object) {
    return object instanceof HttpContent content ? content.content().readableBytes() : 0;
  }

  private void processPending() {
    while (mayProcess() && !closing && !pending.isEmpty()) {
      HttpObject next = pending.removeFirst();
      pendingBytes -= contentBytes(next);
      process(next);
    }
    if (!ctx.channel().config().isAutoRead() && !isPendingFull()) {
      ctx.channel().config().setAutoRead(true);
    }
  }

  private void process(HttpObject object) {
    try {
      if (object instanceof HttpRequest request) {
        beginRequest(request);
      }
      if (!closing && object instanceof HttpContent content) {
        appendContent(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void beginRequest(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      reject(statusOf(request.decoderResult().cause()));
      return;
    }
    Optional<HttpResponseStatus> badFraming = RequestFraming.refusalStatus(request);
    if (badFraming.isPresent()) {
      reject(badFraming.get());
      return;
    }
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > limits.get().bodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    head = request;
    readingRequest = true;
    requestBegunNanos = System.nanoTime();
    if (HttpUtil.is100ContinueExpected(request)) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private HttpResponseStatus statusOf(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException && limits.get().withKeys()) {
      return HttpResponseStatus.BAD_REQUEST;
    }
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLong
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  private void appendContent(HttpContent content) {
    if (head == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (content.content().isReadable()) {
      body = body == null ? Unpooled.buffer(content.content().readableBytes()) : body;
      int size = body.readableBytes() + content.content().readableBytes();
      if (size > limits.get().bodyBytes()) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
      if (!received.tryResize(size)) {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        return;
      }
      body.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      dispatch();
    }
  }

  /**
   * Passes the request on after the next read of the event loop, which shows whether the caller has
   * left while the loop was busy.
   */
  private void dispatch() {
    BufferedHttpRequest request = buildRequest();
    NettyResponseWriter requestWriter = writer;
    if (leaving.getAsBoolean()) {
      // The shutdown waits only for requests that were passed on.
      handle(request, requestWriter);
      return;
    }
    EventLoop loop = ctx.channel().eventLoop();
    // A task alone would run before the next read; what a task schedules runs after it.
    loop.execute(
        () -> loop.schedule(() -> handle(request, requestWriter), 0, TimeUnit.NANOSECONDS));
  }

  private void handle(BufferedHttpRequest request, NettyResponseWriter requestWriter) {
    if (requestWriter.isEnded()) {
      LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
          "gateway: event=abandoned host=%s path=%s", request.host(), request.path());
      return;
    }
    try {
      handler.handle(request, requestWriter);
    } catch (RuntimeException e) {
      // Whether a part of the request was sent is not known, so no answer can be given.
      LOGGER.atSevere().withCause(e).atMostEvery(1, TimeUnit.SECONDS).log("gateway: event=fault");
      ctx.close();
    }
  }

  private BufferedHttpRequest buildRequest() {
    final byte[] bytes = body == null ? new byte[0] : ByteBufUtil.getBytes(body);
    HttpRequest request = head;
    writer =
        new NettyResponseWriter(
            ctx, request, leaving, unanswered, buffers.responses(), this::onResponseWritten);
    head = null;
    body = null;
    readingRequest = false;
    return new BufferedHttpRequest(
        request.method(), request.uri(), request.headers(), bytes, System.nanoTime());
  }

  private void onResponseWritten(boolean keepAlive) {
    writer = null;
    received.release();
    lastActiveNanos = System.nanoTime();
    if (!keepAlive) {
      closing = true;
      return;
    }
    processPending();
  }

  private void reject(HttpResponseStatus status) {
    closing = true;
    body = null;
    received.release();
    LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "gateway: event=malformed status=%s peer=%s", status.code(), ctx.channel().remoteAddress());
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, "close");
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Closes the connection if it received nothing for too long, in or between requests, or has been
   * receiving one request for too long.
   */
  void closeIfTimedOut(long nowNanos) {
    if (writer != null || closing) {
      return;
    }
    long idleMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastActiveNanos);
    long requestMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - requestBegunNanos);
    boolean slow =
        idleMillis > limits.get().headerTimeoutMillis() || requestMillis > REQUEST_TIMEOUT_MILLIS;
    if (readingRequest && slow) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (!readingRequest && idleMillis > limits.get().idleTimeoutMillis()) {
      ctx.close();
    }
  }

  /**
   * Closes the connection unless a request is being read or processed, or a response closes it. A
   * response that is being written is completed first.
   */
  void closeIfIdle() {
    if (writer == null && !readingRequest && !closing) {
      closing = true;
      ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (writer != null) {
      writer.onWritabilityChanged();
    } else {
      processPending();
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pending.forEach(ReferenceCountUtil::release);
    pending.clear();
    body = null;
    received.release();
    if (writer != null) {
      writer.onDisconnect();
    }
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOGGER.atFine().log("gateway: event=caller-connection-failed cause=%s", cause);
    context.close();
  }
}
