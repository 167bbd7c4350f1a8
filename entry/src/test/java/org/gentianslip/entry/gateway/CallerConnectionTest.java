package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.core.limit.BufferQuota;
import org.gentianslip.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A connection of a caller that sends without end")
class CallerConnectionTest {

  private static final int PART_BYTES = 16_384;
  private static final int MAX_BYTES = 5 * PART_BYTES;

  private final List<ResponseWriter> writers = new ArrayList<>();
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new CallerConnection(
              () -> CallerLimits.DEFAULT,
              () -> false,
              BufferQuota.of(1 << 20),
              (request, writer) -> writers.add(writer)));

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  private static HttpRequest head() {
    var head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
    head.headers().set("Host", "shop.example");
    return head;
  }

  private int sendUntilPaused() {
    channel.writeInbound(head(), LastHttpContent.EMPTY_LAST_CONTENT, head());
    int sent = 0;
    while (channel.config().isAutoRead() && sent < 2 * MAX_BYTES) {
      channel.writeInbound(new DefaultHttpContent(Unpooled.buffer().writeZero(PART_BYTES)));
      sent += PART_BYTES;
    }
    return sent;
  }

  @Test
  void pausesReadingAfterSomeBytesOfTheNextRequest() {
    assertThat(sendUntilPaused(), is(lessThanOrEqualTo(MAX_BYTES)));
  }

  @Test
  void resumesReadingAfterTheResponse() {
    sendUntilPaused();
    channel.runPendingTasks();
    writers.get(0).writeResponse(200, EmptyHttpHeaders.INSTANCE, new byte[0]);
    assertThat(channel.config().isAutoRead(), is(true));
  }
}
