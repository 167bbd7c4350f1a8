package org.gentianslip.entry.gateway;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gentianslip.entry.http.ResponseFraming;

/**
 * A connection to a backend server or another instance that carries one exchange at a time.
 *
 * <p>Unsolicited bytes close the connection. A response that names another request is skipped, and
 * the connection is closed after the current exchange; whether it has a body is told by the method
 * of the request that it names. A response without an id is accepted only for the first request, as
 * it may otherwise answer an earlier one. Each request is sent at most once on a connection, as the
 * responses to two sends could not be told apart. A response that ends with the connection is
 * complete only if its request could be written to its end. Confined to its event loop.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d+)");

  /** The margin by which an idle connection is dropped before its Keep-Alive timeout. */
  private static final long KEEP_ALIVE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private static final int FIRST_FINAL_STATUS = 200;
  private static final Set<Integer> STATUSES_WITHOUT_BODY = Set.of(204, 304);

  /** The bytes of skipped responses that are read before the connection is closed. */
  private static final int MAX_SKIPPED_BYTES = 1 << 20;

  /** The number of responses that are skipped before the connection is closed. */
  private static final int MAX_SKIPPED_RESPONSES = 100;

  private final BackendClient client;
  private final String address;
  private final SentRequests sent = new SentRequests();
  private Channel channel;
  private Exchange exchange;
  private boolean requestWritten;
  private boolean endsWithConnection;
  private boolean endedUnwritten;
  private boolean skippingResponse;
  private int skippedBytes;
  private int skippedResponses;
  private boolean reusable = true;
  private long keepAliveNanos = Long.MAX_VALUE;
  private long connectedNanos;
  private long idleSinceNanos;
  private long idleUntilNanos;

  BackendConnection(BackendClient client, String address) {
    this.client = client;
    this.address = address;
  }

  String address() {
    return address;
  }

  Channel channel() {
    return channel;
  }

  void close() {
    channel.close();
  }

  void assign(Exchange next) {
    exchange = next;
    requestWritten = false;
    endedUnwritten = false;
    sent.add(next.request().id(), isHead(next));
    HttpHeaders headers = next.request().headers();
    reusable =
        reusable && !headers.contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    skippingResponse = false;
    skippedBytes = 0;
    skippedResponses = 0;
  }

  /**
   * Returns whether a request was sent on this connection before, so that an earlier response to it
   * could be taken for the one to come.
   */
  boolean hasSent(String requestId) {
    return sent.contains(requestId);
  }

  /** Returns this connection and the number of the latest request on it, for logs. */
  String use() {
    return channel.id().asShortText() + "/" + sent.count();
  }

  /**
   * Returns whether a response answers a HEAD request that was sent on this connection. One that
   * names no request is taken for the answer to the one that waits.
   */
  boolean answersHead(HttpResponse response) {
    if (exchange == null) {
      return false;
    }
    List<String> ids = response.headers().getAll(exchange.request().idHeader());
    return ids.isEmpty() ? isHead(exchange) : ids.stream().anyMatch(sent::containsHead);
  }

  private static boolean isHead(Exchange exchange) {
    return exchange.request().method().equals(HttpMethod.HEAD);
  }

  void markIdleUntil(long nanos) {
    idleSinceNanos = System.nanoTime();
    idleUntilNanos = nanos;
  }

  /**
   * Returns whether a request may be written to this connection.
   *
   * @param alwaysUsableNanos the idle time up to which the Keep-Alive timeout is not considered
   */
  boolean isUsable(long nowNanos, long alwaysUsableNanos) {
    if (!channel.isActive() || nowNanos - idleUntilNanos >= 0) {
      return false;
    }
    long idleNanos = nowNanos - idleSinceNanos;
    return idleNanos < alwaysUsableNanos || idleNanos < keepAliveNanos - KEEP_ALIVE_MARGIN_NANOS;
  }

  /** Records when the connection was established, before it is used. */
  void markConnected(long nowNanos) {
    connectedNanos = nowNanos;
  }

  /** Returns when the connection was established. */
  long connectedNanos() {
    return connectedNanos;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (exchange == null || exchange.hasEnded()) {
        LOGGER.atInfo().log("gateway: event=unsolicited address=%s connection=%s", address, use());
        close();
        return;
      }
      if (!(message instanceof HttpObject)) {
        closeAndFail("not an answer: bytes of another protocol");
        return;
      }
      if (message instanceof HttpResponse response) {
        readHead(response);
      }
      if (message instanceof HttpContent content && exchange != null) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(HttpResponse response) {
    if (response.decoderResult().isFailure()) {
      closeAndFail("not an answer: " + response.decoderResult().cause());
      return;
    }
    HttpHeaders headers = response.headers();
    int status = response.status().code();
    String reasonPhrase = response.status().reasonPhrase();
    Optional<String> fault = ResponseFraming.fault(status, reasonPhrase, headers);
    if (fault.isPresent()) {
      closeAndFail("not an answer: " + fault.get());
      return;
    }
    if (status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
      closeAndFail("not an answer: switches to a protocol that was not asked for");
      return;
    }
    List<String> ids = headers.getAll(exchange.request().idHeader());
    if (status >= FIRST_FINAL_STATUS && ids.isEmpty() && sent.count() > 1) {
      closeAndFail("not an answer: without an id, which may be to an earlier request");
      return;
    }
    skippingResponse =
        status < FIRST_FINAL_STATUS || !ids.stream().allMatch(exchange.request().id()::equals);
    if (skippingResponse && status >= FIRST_FINAL_STATUS && endsWithConnection(response)) {
      closeAndFail("not an answer to this request, and none can follow");
      return;
    }
    if (skippingResponse) {
      LOGGER.atInfo().log(
          "gateway: event=skipped-answer address=%s connection=%s id=%s answer-id=%.64s status=%s",
          address, use(), exchange.request().id(), String.join(",", ids), status);
      reusable = reusable && status < FIRST_FINAL_STATUS;
      skippedResponses++;
      closeIfTooMuchIsSkipped();
      return;
    }
    endsWithConnection = endsWithConnection(response);
    reusable = reusable && HttpUtil.isKeepAlive(response) && !endsWithConnection;
    readKeepAlive(headers.get("Keep-Alive"));
    exchange.listener().onHead(status, headers);
  }

  private boolean endsWithConnection(HttpResponse response) {
    return !HttpUtil.isTransferEncodingChunked(response)
        && !HttpUtil.isContentLengthSet(response)
        && !STATUSES_WITHOUT_BODY.contains(response.status().code())
        && !answersHead(response);
  }

  private void readKeepAlive(String keepAlive) {
    Matcher matcher = keepAlive == null ? null : TIMEOUT.matcher(keepAlive);
    if (matcher != null && matcher.find()) {
      keepAliveNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)));
    }
  }

  private void readContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      closeAndFail("not an answer: " + content.decoderResult().cause());
      return;
    }
    if (skippingResponse) {
      skippedBytes += content.content().readableBytes();
      closeIfTooMuchIsSkipped();
      skippingResponse = !(content instanceof LastHttpContent);
      return;
    }
    Exchange current = exchange;
    if (content.content().isReadable()) {
      current.listener().onBodyPart(ByteBufUtil.getBytes(content.content()));
    }
    if (content instanceof LastHttpContent) {
      endedUnwritten = endsWithConnection && !requestWritten;
      if (!endedUnwritten) {
        complete(current);
      }
    }
  }

  /** Records that a request has been written to its end. */
  void onWritten(Exchange written) {
    if (written != exchange) {
      return;
    }
    requestWritten = true;
    if (endedUnwritten) {
      complete(written);
    }
  }

  private void complete(Exchange current) {
    if (current.markEnded()) {
      finishExchange();
      current.listener().onComplete();
    }
  }

  private void closeIfTooMuchIsSkipped() {
    if (skippedBytes > MAX_SKIPPED_BYTES || skippedResponses > MAX_SKIPPED_RESPONSES) {
      closeAndFail("not an answer to this request");
    }
  }

  private void finishExchange() {
    exchange = null;
    channel.config().setAutoRead(true);
    if (reusable && channel.isActive()) {
      client.release(this);
    } else {
      close();
    }
  }

  private void closeAndFail(String cause) {
    Exchange current = exchange;
    exchange = null;
    close();
    if (current != null) {
      current.fail(cause);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent && !endedUnwritten) {
      closeAndFail("closed by the other side");
    }
    super.userEventTriggered(ctx, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    closeAndFail(cause.toString());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    client.remove(this);
    closeAndFail("closed by the other side");
    ctx.fireChannelInactive();
  }
}
