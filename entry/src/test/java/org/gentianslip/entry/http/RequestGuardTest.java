package org.gentianslip.entry.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

class RequestGuardTest {

  private static final int MAX_BYTES = 100;

  private final EmbeddedChannel channel =
      new EmbeddedChannel(new RequestGuard(HeadCheck.NONE, MAX_BYTES));

  @Test
  void refusesBodiesOfUnknownLengthThatExceedTheLimit() {
    beginRequest();
    sendBody(MAX_BYTES);
    assertThat(channel.readOutbound(), is(nullValue()));
    sendBody(1);
    FullHttpResponse response = channel.readOutbound();
    assertThat(response.status().code(), is(413));
    assertThat(channel.isOpen(), is(false));
    response.release();
  }

  @Test
  void countsEachBodySeparately() {
    beginRequest();
    sendBody(MAX_BYTES);
    beginRequest();
    sendBody(MAX_BYTES);
    assertThat(channel.readOutbound(), is(nullValue()));
  }

  @Test
  void refusesBodiesWithoutKnownEnd() {
    var request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
    request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "identity");
    channel.writeInbound(request);
    FullHttpResponse response = channel.readOutbound();
    assertThat(response.status().code(), is(400));
    assertThat(channel.isOpen(), is(false));
    response.release();
  }

  private void beginRequest() {
    channel.writeInbound(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
  }

  private void sendBody(int bytes) {
    channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes])));
  }
}
