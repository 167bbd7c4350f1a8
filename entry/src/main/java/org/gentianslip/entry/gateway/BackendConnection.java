package org.gentianslip.entry.gateway;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Holds one connection to a backend server or another instance.
 *
 * <p>It carries one exchange at a time. Bytes that no exchange waits for close it; an answer that
 * names another request is skipped and closes it after the exchange. Used on its event loop only.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d+)");

  /** How long before the other side's bound a connection is given up. */
  private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private static final int FIRST_FINAL_STATUS = 200;

  private final BackendClient pool;
  private final String address;
  private Channel channel;
  private Exchange exchange;
  private boolean skipping;
  private boolean reusable = true;
  private long toldIdleNanos = Long.MAX_VALUE;
  private long idleSinceNanos;
  private long idleUntilNanos;

  BackendConnection(BackendClient pool, String address) {
    this.pool = pool;
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

  void use(Exchange next) {
    exchange = next;
    skipping = false;
  }

  void idleUntil(long nanos) {
    idleSinceNanos = System.nanoTime();
    idleUntilNanos = nanos;
  }

  /** Returns whether a request may be written on it. */
  boolean isUsable(long nowNanos, long youngNanos) {
    if (!channel.isActive() || nowNanos - idleUntilNanos >= 0) {
      return false;
    }
    long idle = nowNanos - idleSinceNanos;
    return idle < youngNanos || idle < toldIdleNanos - IDLE_MARGIN_NANOS;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (exchange == null || exchange.hasEnded()) {
        close();
        return;
      }
      if (message instanceof HttpResponse response) {
        head(response);
      }
      if (message instanceof HttpContent content && exchange != null) {
        content(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void head(HttpResponse response) {
    if (response.decoderResult().isFailure()) {
      breakOff("not an answer: " + response.decoderResult().cause());
      return;
    }
    HttpHeaders headers = response.headers();
    int status = response.status().code();
    String id = headers.get(exchange.request().idHeader());
    skipping = status < FIRST_FINAL_STATUS || (id != null && !id.equals(exchange.request().id()));
    if (skipping) {
      reusable = reusable && status < FIRST_FINAL_STATUS;
      return;
    }
    boolean closeDelimited =
        !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response);
    reusable = reusable && HttpUtil.isKeepAlive(response) && !closeDelimited;
    noteTimeout(headers.get("Keep-Alive"));
    exchange.listener().head(status, headers);
  }

  private void noteTimeout(String keepAlive) {
    Matcher told = keepAlive == null ? null : TIMEOUT.matcher(keepAlive);
    if (told != null && told.find()) {
      toldIdleNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(told.group(1)));
    }
  }

  private void content(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      breakOff("not an answer: " + content.decoderResult().cause());
      return;
    }
    if (skipping) {
      skipping = !(content instanceof LastHttpContent);
      return;
    }
    Exchange current = exchange;
    if (content.content().isReadable()) {
      current.listener().part(ByteBufUtil.getBytes(content.content()));
    }
    if (content instanceof LastHttpContent && current.end()) {
      release();
      current.listener().complete();
    }
  }

  private void release() {
    exchange = null;
    channel.config().setAutoRead(true);
    if (reusable && channel.isActive()) {
      pool.keep(this);
    } else {
      close();
    }
  }

  private void breakOff(String cause) {
    Exchange current = exchange;
    exchange = null;
    close();
    if (current != null) {
      current.fail(cause);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    breakOff(cause.toString());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.forget(this);
    breakOff("closed by the other side");
    ctx.fireChannelInactive();
  }
}
