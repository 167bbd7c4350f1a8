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
 * An HTTP request together with its response.
 *
 * <p>The request is immutable. Only the first response is sent, either at once or as a stream of
 * chunks; further responses are ignored. Safe for use by several threads.
 */
public final class HttpExchange {

  private final Channel channel;
  private final String method;
  private final QueryStringDecoder target;
  private final HttpHeaders headers;
  private final byte[] body;
  private final boolean keepAlive;
  private final AtomicBoolean responded = new AtomicBoolean();
  private final AtomicReference<Runnable> closeAction = new AtomicReference<>();

  private HttpExchange(Channel channel, FullHttpRequest request) {
    this.channel = channel;
    this.method = request.method().name();
    this.target = new QueryStringDecoder(request.uri());
    this.headers = request.headers().copy();
    this.body = ByteBufUtil.getBytes(request.content());
    this.keepAlive = HttpUtil.isKeepAlive(request);
  }

  static HttpExchange of(Channel channel, FullHttpRequest request) {
    return new HttpExchange(channel, request);
  }

  /** Returns the method in upper case. */
  public String method() {
    return method;
  }

  /** Returns the path without the query. */
  public String path() {
    return target.path();
  }

  /** Returns whether the request has the given method and path. */
  public boolean matches(String expectedMethod, String expectedPath) {
    return method.equals(expectedMethod) && path().equals(expectedPath);
  }

  /** Returns the first value of a query parameter. */
  public Optional<String> queryParameter(String name) {
    return Optional.ofNullable(target.parameters().get(name)).map(values -> values.get(0));
  }

  /**
   * Returns a query parameter as a whole number, or a default if it is missing.
   *
   * @throws IllegalArgumentException if it is not a whole number
   */
  public long queryParameterAsLong(String name, long defaultValue) {
    return queryParameter(name).map(text -> parseNumber(name, text)).orElse(defaultValue);
  }

  /** Returns the first value of a header. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /**
   * Returns a header as a whole number, or empty if it is missing.
   *
   * @throws IllegalArgumentException if it is not a whole number
   */
  public Optional<Long> headerAsLong(String name) {
    return header(name).map(text -> parseNumber(name, text));
  }

  /** Returns the body, decoded as UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns the length of the body in bytes. */
  public int bodyLength() {
    return body.length;
  }

  /** Returns the body as JSON, or empty if it is not valid JSON. */
  public Optional<JsonNode> bodyJson() {
    try {
      return Optional.ofNullable(StandinJson.MAPPER.readTree(bodyText()))
          .filter(n -> !n.isMissingNode());
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the body as JSON.
   *
   * @throws IllegalArgumentException if it is not valid JSON
   */
  public JsonNode requireJson() {
    return bodyJson().orElseThrow(() -> new IllegalArgumentException("the body is not valid JSON"));
  }

  /** Responds with a value as JSON. */
  public void respondJson(int status, Object value) {
    respond(status, "application/json", StandinJson.toText(value), Map.of());
  }

  /** Responds with an error as JSON. */
  public void respondError(int status, String code, String message) {
    respondError(status, code, message, Map.of());
  }

  /** Responds with an error as JSON and extra headers. */
  public void respondError(
      int status, String code, String message, Map<String, String> extraHeaders) {
    var value = Map.of("error", Map.of("code", code, "message", message));
    respond(status, "application/json", StandinJson.toText(value), extraHeaders);
  }

  /** Responds with a text, encoded as UTF-8. */
  public void respond(
      int status, String contentType, String text, Map<String, String> extraHeaders) {
    respond(status, contentType, text.getBytes(StandardCharsets.UTF_8), extraHeaders);
  }

  /** Responds with a complete body. */
  public void respond(
      int status, String contentType, byte[] bytes, Map<String, String> extraHeaders) {
    if (!responded.compareAndSet(false, true)) {
      return;
    }
    var content = Unpooled.wrappedBuffer(bytes);
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    extraHeaders.forEach(response.headers()::set);
    if (!HttpResponseStatus.NOT_MODIFIED.equals(response.status())) {
      HttpUtil.setContentLength(response, content.readableBytes());
    }
    write(response);
  }

  /** Starts a response in chunks, for {@link #writeChunk} and {@link #endStream}. */
  public void startStream(String contentType) {
    if (!responded.compareAndSet(false, true)) {
      return;
    }
    var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    HttpUtil.setTransferEncodingChunked(response, true);
    setConnectionHeader(response);
    channel.writeAndFlush(response);
  }

  /** Sends a chunk of the response immediately. */
  public void writeChunk(String text) {
    var content = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    channel.writeAndFlush(new DefaultHttpContent(content));
  }

  /** Ends a response in chunks. */
  public void endStream() {
    var sent = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!keepAlive) {
      sent.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Closes the connection, without a response if none was sent. */
  public void closeConnection() {
    responded.set(true);
    channel.close();
  }

  /**
   * Runs an action when the connection closes before its next request, or now if it is closed.
   *
   * <p>The action runs at most once and replaces one that was set before.
   */
  public void onClose(Runnable action) {
    closeAction.set(action);
    if (!channel.isActive()) {
      runCloseAction();
    }
  }

  /** Runs the action for a closed connection, unless it has run. */
  void runCloseAction() {
    var action = closeAction.getAndSet(null);
    if (action != null) {
      action.run();
    }
  }

  /** Runs an action after a delay on the event loop of the connection. */
  public void schedule(Duration delay, Runnable action) {
    channel.eventLoop().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void write(DefaultFullHttpResponse response) {
    setConnectionHeader(response);
    var sent = channel.writeAndFlush(response);
    if (!keepAlive) {
      sent.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void setConnectionHeader(HttpMessage response) {
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
