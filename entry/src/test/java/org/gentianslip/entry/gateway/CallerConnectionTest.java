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
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A connection of a caller that sends without end")
class CallerConnectionTest {

  private static final int PART_BYTES = 16_384;
  private static final int MAX_BYTES = 5 * PART_BYTES;
  private static final int CALLERS = 10;
  private static final int LARGE_BYTES = 7 << 20;

  /** The number of large bodies that an instance keeps. */
  private static final int FITTING = 6;

  private static final CallerLimits LIMITS =
      new CallerLimits(
          CallerLimits.DEFAULT.headerBytes(),
          CallerLimits.DEFAULT.bodyBytes(),
          2 * CallerConnection.REQUEST_TIMEOUT_MILLIS,
          2 * CallerConnection.REQUEST_TIMEOUT_MILLIS);

  private final List<ResponseWriter> writers = new ArrayList<>();
  private final CallerBuffers buffers = CallerBuffers.create();
  private final CallerConnection connection = connection();
  private final EmbeddedChannel channel = new EmbeddedChannel(connection);

  private CallerConnection connection() {
    return new CallerConnection(
        () -> LIMITS,
        () -> false,
        new UnansweredRequests(),
        buffers,
        (request, writer) -> writers.add(writer));
  }

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

  @Test
  void keepsBoundedNumberOfBytesOfManyRequestsTogether() {
    int rejected = 0;
    for (int i = 0; i < CALLERS; i++) {
      var caller = new EmbeddedChannel(connection());
      caller.writeInbound(head(), new DefaultHttpContent(Unpooled.buffer().writeZero(LARGE_BYTES)));
      rejected += caller.isActive() ? 0 : 1;
    }
    assertThat(rejected, is(CALLERS - FITTING));
  }

  @Test
  void leavesRoomForOthersWhenItIsClosed() {
    for (int i = 0; i < CALLERS; i++) {
      var caller = new EmbeddedChannel(connection());
      caller.writeInbound(head(), new DefaultHttpContent(Unpooled.buffer().writeZero(LARGE_BYTES)));
      assertThat(caller.isActive(), is(true));
      caller.close();
    }
  }

  @Test
  void isClosedIfOneRequestTakesTooLong() {
    channel.writeInbound(head());
    long soon = System.nanoTime();
    long late =
        soon + TimeUnit.MILLISECONDS.toNanos(CallerConnection.REQUEST_TIMEOUT_MILLIS + 1_000);
    connection.closeIfTimedOut(soon);
    assertThat(channel.isActive(), is(true));
    connection.closeIfTimedOut(late);
    assertThat(channel.isActive(), is(false));
  }
}
