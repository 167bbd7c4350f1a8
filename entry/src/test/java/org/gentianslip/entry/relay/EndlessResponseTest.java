package org.gentianslip.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gentianslip.entry.testing.EndlessServer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("A response without end")
class EndlessResponseTest {

  /** More than the largest body, less than the server sends. */
  private static final long MAX_BYTES = 40L << 20;

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private static UpstreamRequest get(EndlessServer server) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    return new UpstreamRequest(
        "GET", "http://" + server.address() + "/", Map.of(), null, null, deadline);
  }

  private static boolean isRead(EndlessServer server) throws Exception {
    var read = new CompletableFuture<Boolean>();
    new UpstreamClient()
        .start(
            get(server),
            new UpstreamTimeouts(TIMEOUT, TIMEOUT, TIMEOUT),
            result -> read.complete(isRead(result)));
    return read.get();
  }

  private static boolean isRead(UpstreamResult result) {
    if (!(result instanceof UpstreamResult.Responded responded)) {
      return false;
    }
    try {
      return ResponseBodyReader.read(responded.response()).length > 0;
    } catch (IOException e) {
      return false;
    }
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "head, 'A: b\r\n', 'A: b\r\n'",
    "body, '\r\n', ' '",
    "chunk extension, 'Transfer-Encoding: chunked\r\n\r\n1;a=', 'a'",
    "trailers, 'Transfer-Encoding: chunked\r\n\r\n0\r\n', 'A: b\r\n'",
    "name in a compressed body, 'Content-Encoding: gzip\r\n\r\n{gzip}', 'a'",
  })
  void isGivenUpInsideIts(String place, String begin, String repeated) throws Exception {
    try (var server = new EndlessServer("HTTP/1.1 200 OK\r\n" + begin, repeated)) {
      assertThat(isRead(server), is(false));
      assertThat(server.awaitSentBytes(), is(lessThan(MAX_BYTES)));
    }
  }

  @Test
  void isNotAskedForInCompressedForm() throws Exception {
    try (var server = new EndlessServer("HTTP/1.1 200 OK\r\n\r\n", " ")) {
      assertThat(isRead(server), is(false));
      assertThat(server.requestHead(), hasItem("Accept-Encoding: identity"));
    }
  }
}
