package org.gentianslip.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Decodes responses, and asks of each one whether it answers a HEAD request and so has no body.
 *
 * <p>The question is put after all earlier responses have been passed on. A body without a length
 * ends where the other side has shut down its output, and has no end if the connection is closed in
 * any other way; the channel must allow half closure. Confined to one event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final Pattern STATUS = Pattern.compile("\\d{3}");

  private final Predicate<HttpResponse> answersHead;
  private boolean inputEnded;
  private boolean inputFailed;

  ResponseDecoder(HttpDecoderConfig config, Predicate<HttpResponse> answersHead) {
    super(config);
    this.answersHead = answersHead;
  }

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    if (!STATUS.matcher(statusLine[1]).matches()) {
      throw new IllegalArgumentException("The status is not three digits: " + statusLine[1]);
    }
    return super.createMessage(statusLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message)
        || (message instanceof HttpResponse response && answersHead.test(response));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
    inputFailed = true;
    super.exceptionCaught(ctx, cause);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      // The transport reports the end of the input after a read that failed, too.
      inputEnded = !inputFailed;
    }
    super.userEventTriggered(ctx, event);
  }

  @Override
  protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
      throws Exception {
    if (inputEnded) {
      super.decodeLast(ctx, in, out);
    }
  }
}
