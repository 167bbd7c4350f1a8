package org.gentianslip.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One call and the way to answer it.
 *
 * <p>The request is immutable. A call is answered at most once, as a whole or as a stream; further
 * answers are ignored. Safe for use by several threads.
 */
public final class HttpCall {

  private final Channel channel;
  private final String method;
  private final QueryStringDecoder target;
  private final HttpHeaders headers;
  private final byte[] body;
  private final boolean keepAlive;
  private final AtomicBoolean answered = new AtomicBoolean();
  private final AtomicReference<Runnable> closeAction = new AtomicReference<>();

  private HttpCall(Channel channel, FullHttpRequest request) {
    this.channel = channel;
    this.method = request.method().name();
    this.target = new QueryStringDecoder(request.uri());
    this.headers = request.headers().copy();
    this.body = ByteBufUtil.getBytes(request.content());
    this.keepAlive = HttpUtil.isKeepAlive(request);
  }

  static HttpCall of(Channel channel, FullHttpRequest request) {
    return new HttpCall(channel, request);
  }

  /** Returns the method in capitals. */
  public String method() {
    return method;
  }

  /** Returns the path without the query. */
  public String path() {
    return target.path();
  }

  /** Returns whether the call has the given method and path. */
  public boolean is(String wantedMethod, String wantedPath) {
    return method.equals(wantedMethod) && path().equals(wantedPath);
  }

  /** Returns the first value of a query parameter. */
  public Optional<String> query(String name) {
    return Optional.ofNullable(target.parameters().get(name)).map(values -> values.get(0));
  }

  /**
   * Returns a query parameter as a whole number.
   *
   * @throws IllegalArgumentException if it is set to something else
   */
  public long queryNumber(String name, long orElse) {
    return query(name).map(text -> parseNumber(name, text)).orElse(orElse);
  }

  /** Returns the first value of a header. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /**
   * Returns a header as a whole number.
   *
   * @throws IllegalArgumentException if it is set to something else
   */
  public Optional<Long> headerNumber(String name) {
    return header(name).map(text -> parseNumber(name, text));
  }

  /** Returns the body as text in UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns the length of the body in bytes. */
  public int bodyLength() {
    return body.length;
  }

  /** Returns the body as JSON, or nothing if it is none. */
  public Optional<JsonNode> bodyJson() {
    try {
      return Optional.ofNullable(Json.MAPPER.readTree(bodyText())).filter(n -> !n.isMissingNode());
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the body as JSON.
   *
   * @throws IllegalArgumentException if it is none
   */
  public JsonNode requireJson() {
    return bodyJson().orElseThrow(() -> new IllegalArgumentException("the body is no JSON"));
  }

  /** Answers with JSON. */
  public void answerJson(int status, Object value) {
    answer(status, "application/json", Json.text(value), Map.of());
  }

  /** Answers with an error in the usual form. */
  public void answerError(int status, String code, String message) {
    answerError(status, code, message, Map.of());
  }

  /** Answers with an error in the usual form and further headers. */
  public void answerError(int status, String code, String message, Map<String, String> more) {
    var value = Map.of("error", Map.of("code", code, "message", message));
    answer(status, "application/json", Json.text(value), more);
  }

  /** Answers with a text in UTF-8. */
  public void answer(int status, String contentType, String text, Map<String, String> more) {
    answer(status, contentType, text.getBytes(StandardCharsets.UTF_8), more);
  }

  /** Answers with a whole body. */
  public void answer(int status, String contentType, byte[] bytes, Map<String, String> more) {
    if (!answered.compareAndSet(false, true)) {
      return;
    }
    var content = Unpooled.wrappedBuffer(bytes);
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    more.forEach(response.headers()::set);
    if (!HttpResponseStatus.NOT_MODIFIED.equals(response.status())) {
      HttpUtil.setContentLength(response, content.readableBytes());
    }
    write(response);
  }

  /** Starts an answer in parts; {@link #writePart} and {@link #endParts} follow. */
  public void startParts(String contentType) {
    if (!answered.compareAndSet(false, true)) {
      return;
    }
    var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    HttpUtil.setTransferEncodingChunked(response, true);
    setConnection(response);
    channel.writeAndFlush(response);
  }

  /** Sends a part of the answer at once. */
  public void writePart(String text) {
    var content = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    channel.writeAndFlush(new DefaultHttpContent(content));
  }

  /** Ends an answer in parts. */
  public void endParts() {
    var sent = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!keepAlive) {
      sent.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes the connection; what is not yet answered stays without an answer. */
  public void closeConnection() {
    answered.set(true);
    channel.close();
  }

  /**
   * Runs an action when the connection closes before the next call, or now if it is closed.
   *
   * <p>It replaces an action that was set before and runs at most once.
   */
  public void onClose(Runnable action) {
    closeAction.set(action);
    if (!channel.isActive()) {
      runCloseAction();
    }
  }

  /** Runs the action for a closed connection, once. */
  void runCloseAction() {
    var action = closeAction.getAndSet(null);
    if (action != null) {
      action.run();
    }
  }

  /** Runs an action on the event loop of the connection after a delay. */
  public void schedule(Duration delay, Runnable action) {
    channel.eventLoop().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void write(DefaultFullHttpResponse response) {
    setConnection(response);
    var sent = channel.writeAndFlush(response);
    if (!keepAlive) {
      sent.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void setConnection(HttpMessage response) {
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
  }

  private static long parseNumber(String name, String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(name + " must be a whole number: \"" + text + "\"", e);
    }
  }
}
