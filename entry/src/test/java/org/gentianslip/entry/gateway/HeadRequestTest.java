package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against bodies that are expected or left out for the method of another request. */
@DisplayName("A client that sends HEAD and GET on one connection")
class HeadRequestTest {

  private static final int LONG_BODY_BYTES = 200_000;

  /** The time between two parts of an answer, in milliseconds. */
  private static final long PAUSE_MILLIS = 20;

  @RegisterExtension private final ClientFixture fixture = new ClientFixture();

  /** The form of an answer. */
  private enum Form {
    LENGTH,
    CHUNKED;

    /** Returns the answer to a request, which has no body if the method is HEAD. */
    String answer(HttpMethod method, String id, String body) {
      String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n";
      boolean withBody = !method.equals(HttpMethod.HEAD);
      if (this == LENGTH) {
        return head + "Content-Length: " + body.length() + "\r\n\r\n" + (withBody ? body : "");
      }
      String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
      return head + "Transfer-Encoding: chunked\r\n\r\n" + (withBody ? chunk : "");
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String body(String word, boolean isLong) {
    return isLong ? word.repeat(LONG_BODY_BYTES / word.length()) : word;
  }

  private static String expected(HttpMethod method, String body) {
    return ReceivedAnswer.whole(200, method.equals(HttpMethod.HEAD) ? "" : body);
  }

  @Nested
  @DisplayName("reads its own answer after a copy of the answer before")
  class LateCopy {

    @ParameterizedTest
    @CsvSource({
      "GET, HEAD, LENGTH, false, false",
      "GET, HEAD, LENGTH, false, true",
      "GET, HEAD, LENGTH, true, false",
      "GET, HEAD, LENGTH, true, true",
      "GET, HEAD, CHUNKED, false, false",
      "GET, HEAD, CHUNKED, true, true",
      "HEAD, GET, LENGTH, false, false",
      "HEAD, GET, LENGTH, false, true",
      "HEAD, GET, LENGTH, true, false",
      "HEAD, GET, LENGTH, true, true",
      "HEAD, GET, CHUNKED, false, false",
      "HEAD, GET, CHUNKED, true, true",
      "HEAD, HEAD, LENGTH, true, false",
      "HEAD, HEAD, CHUNKED, false, true",
      "GET, GET, LENGTH, true, true",
      "GET, GET, CHUNKED, true, false"
    })
    void thatNamesItsRequest(
        String firstMethod, String secondMethod, Form form, boolean isLong, boolean inTwoWrites)
        throws Exception {
      HttpMethod first = HttpMethod.valueOf(firstMethod);
      HttpMethod second = HttpMethod.valueOf(secondMethod);
      String firstBody = body("first", isLong);
      String secondBody = body("second", isLong);
      String firstAnswer = form.answer(first, "a1", firstBody);
      String secondAnswer = form.answer(second, "a2", secondBody);
      fixture
          .server()
          .setScript(
              (place, socket) -> {
                if (place == 1) {
                  write(socket, firstAnswer);
                  return;
                }
                int cut = inTwoWrites ? firstAnswer.length() / 2 : firstAnswer.length();
                write(socket, firstAnswer.substring(0, cut));
                if (inTwoWrites) {
                  pause();
                }
                write(socket, firstAnswer.substring(cut) + secondAnswer);
              });
      assertThat(fixture.send(first, "a1", true).await(), is(expected(first, firstBody)));
      assertThat(fixture.send(second, "a2", false).await(), is(expected(second, secondBody)));
    }

    @ParameterizedTest
    @CsvSource({"GET, HEAD", "HEAD, GET"})
    void exceptIfItNamesNone(String firstMethod, String secondMethod) throws Exception {
      HttpMethod first = HttpMethod.valueOf(firstMethod);
      HttpMethod second = HttpMethod.valueOf(secondMethod);
      String firstAnswer = Form.LENGTH.answer(first, "a1", "first");
      String copy = firstAnswer.replace("Request-Id: a1\r\n", "");
      String secondAnswer = Form.LENGTH.answer(second, "a2", "second");
      fixture
          .server()
          .setScript(
              (place, socket) -> write(socket, place == 1 ? firstAnswer : copy + secondAnswer));
      assertThat(fixture.send(first, "a1", true).await(), is(expected(first, "first")));
      assertThat(fixture.send(second, "a2", false).await(), is(ReceivedAnswer.FAILURE));
    }
  }

  @Test
  void readsItsOwnAnswerAfterInformationalOnes() throws Exception {
    String notes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nNote: a\r\n\r\n";
    String answer = Form.LENGTH.answer(HttpMethod.HEAD, "a1", "first");
    fixture.server().setScript((place, socket) -> write(socket, notes + answer));
    assertThat(
        fixture.send(HttpMethod.HEAD, "a1", true).await(), is(ReceivedAnswer.whole(200, "")));
  }

  @Test
  void readsAllOfManyAnswersInTurn() throws Exception {
    fixture
        .server()
        .setScript(
            (place, socket) -> {
              HttpMethod method = place % 2 == 0 ? HttpMethod.HEAD : HttpMethod.GET;
              write(socket, Form.LENGTH.answer(method, "a" + place, "body " + place));
            });
    for (int i = 1; i <= 6; i++) {
      HttpMethod method = i % 2 == 0 ? HttpMethod.HEAD : HttpMethod.GET;
      String read = fixture.send(method, "a" + i, false).await();
      assertThat(read, is(expected(method, "body " + i)));
    }
  }
}
