package org.gentianslip.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gentianslip.entry.testing.AnswerServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against parts of responses that are passed on as whole ones. */
@DisplayName("The client of the own edge")
class CutResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String FAILURE = "failure";

  /** The size of a request that fits into no buffer of a connection. */
  private static final int UPLOAD_BYTES = 16 << 20;

  private static final int UPLOADS = 20;
  private static final String LENGTH =
      "HTTP/1.1 200 OK\r\nNote: a b\r\nContent-Length: 5\r\n\r\nwhole";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n";
  private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nNote: a b\r\n\r\nwhole";

  private final UpstreamClient client = new UpstreamClient();
  private AnswerServer server;

  @BeforeEach
  void start() throws IOException {
    server = new AnswerServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private void answer(String text, boolean reset) {
    server.setScript(
        (place, socket) -> {
          socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
          if (reset) {
            AnswerServer.reset(socket);
          } else {
            socket.close();
          }
        });
  }

  private String read() throws Exception {
    return read("GET", null);
  }

  /** Returns the status and the body of a whole response, or the failure. */
  private String read(String method, byte[] body) throws Exception {
    var result = new CompletableFuture<UpstreamResult>();
    var request =
        new UpstreamRequest(
            method,
            "http://" + server.address() + "/",
            Map.of(),
            body,
            null,
            System.nanoTime() + TIMEOUT.toNanos());
    client.startOnFreshConnection(
        request, new UpstreamTimeouts(TIMEOUT, TIMEOUT, TIMEOUT), result::complete);
    if (result.get(TIMEOUT.toSeconds() * 2, TimeUnit.SECONDS)
        instanceof UpstreamResult.Responded responded) {
      try {
        byte[] received = ResponseBodyReader.read(responded.response());
        return responded.response().code()
            + " "
            + new String(received, StandardCharsets.ISO_8859_1);
      } catch (IOException e) {
        return FAILURE;
      }
    }
    return FAILURE;
  }

  @ParameterizedTest
  @ValueSource(strings = {LENGTH, CHUNKED, WITHOUT_LENGTH})
  void readsNoCutResponseAsWhole(String text) throws Exception {
    int bodyStart = text.indexOf("\r\n\r\n") + 4;
    List<String> wrong = new ArrayList<>();
    for (boolean reset : new boolean[] {false, true}) {
      for (int i = 0; i < text.length(); i++) {
        answer(text.substring(0, i), reset);
        String read = read();
        boolean endsWithConnection = text.equals(WITHOUT_LENGTH) && i >= bodyStart && !reset;
        String expected = endsWithConnection ? "200 " + text.substring(bodyStart, i) : FAILURE;
        if (!read.equals(expected)) {
          wrong.add("after " + i + " bytes, reset=" + reset + ": " + read);
        }
      }
    }
    assertThat(wrong, is(empty()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1 << 20})
  void readsNoPartAsCompleteAnswerIfItsRequestCannotBeWritten(int readBytes) throws Exception {
    server.setScript(
        (place, socket) -> {
          socket.getOutputStream().write(WITHOUT_LENGTH.getBytes(StandardCharsets.ISO_8859_1));
          socket.getInputStream().readNBytes(readBytes);
          AnswerServer.reset(socket);
        });
    List<String> wrong = new ArrayList<>();
    for (int i = 0; i < UPLOADS; i++) {
      String read = read("POST", new byte[UPLOAD_BYTES]);
      if (!read.equals(FAILURE)) {
        wrong.add("upload " + i + ": " + read);
      }
    }
    assertThat(wrong, is(empty()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 5",
        "Content-Length: 3, 5",
        "Content-Length: -1",
        "Content-Length: 5x",
        "Content-Length: 9",
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: gzip"
      })
  void readsNoResponseWhoseBodyHasNoKnownEnd(String headers) throws Exception {
    answer("HTTP/1.1 200 OK\r\n" + headers + "\r\n\r\nwhole", false);
    assertThat(read(), is(FAILURE));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"000", "001", "020", "099", "600", "999", "+20", "0200", "2000", "-20", "2x0"})
  void readsNoResponseWithoutStatus(String status) throws Exception {
    String response = LENGTH.replace("200", status);
    answer(response, false);
    assertThat(read(), is(FAILURE));
    answer(response + LENGTH, false);
    assertThat(read(), is(FAILURE));
  }

  @Test
  void readsNoTwoHeadsAsOne() throws Exception {
    List<String> wrong = new ArrayList<>();
    for (int i = 1; i < LENGTH.indexOf("\r\n\r\n"); i++) {
      answer(LENGTH.substring(0, i) + LENGTH.replace("200 OK", "500 No"), false);
      String read = read();
      if (read.startsWith("200")) {
        wrong.add("after " + i + " bytes: " + read);
      }
    }
    assertThat(wrong, is(empty()));
  }
}
