package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gentianslip.entry.testing.AnswerServer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Cuts answers after each of their bytes. */
@DisplayName("A client whose server stops within an answer")
class CutAnswerTest {

  private static final String ID = "a1";

  /** The size of a body that fits into no buffer of a connection. */
  private static final int UNREAD_BYTES = 16 << 20;

  private static final String FIRST =
      "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n";

  @RegisterExtension private final ClientFixture fixture = new ClientFixture();

  /** Where the body of an answer ends. */
  private enum BodyEnd {
    /** After a length, the last chunk, or the head. */
    STATED,
    /** Where the connection ends. */
    CONNECTION
  }

  /** An answer, and the body that is read from it. */
  private enum Answer {
    LENGTH("GET", BodyEnd.STATED, "200 OK", "Stamp: s\r\nContent-Length: 5\r\n", "whole", "whole"),
    EMPTY("GET", BodyEnd.STATED, "200 OK", "Content-Length: 0\r\nStamp: s\r\n", "", ""),
    CHUNKED(
        "GET",
        BodyEnd.STATED,
        "200 OK",
        "Stamp: s\r\nTransfer-Encoding: chunked\r\n",
        "3\r\nwho\r\n2;a=b\r\nle\r\n0\r\n\r\n",
        "whole"),
    TRAILERS(
        "GET",
        BodyEnd.STATED,
        "200 OK",
        "Transfer-Encoding: chunked\r\n",
        "5\r\nwhole\r\n0\r\nSum: 1\r\nEnd: 2\r\n\r\n",
        "whole"),
    FOLDED(
        "GET",
        BodyEnd.STATED,
        "200 OK",
        "Stamp: s\r\n t\r\n\tu\r\nContent-Length: 5\r\n",
        "whole",
        "whole"),
    NO_CONTENT("GET", BodyEnd.STATED, "204 No Content", "Stamp: s\r\n", "", ""),
    NOT_MODIFIED("GET", BodyEnd.STATED, "304 Not", "Content-Length: 5\r\n", "", ""),
    HEAD("HEAD", BodyEnd.STATED, "200 OK", "Content-Length: 5\r\n", "", ""),
    HEAD_CHUNKED("HEAD", BodyEnd.STATED, "200 OK", "Transfer-Encoding: chunked\r\n", "", ""),
    HEAD_WITHOUT_LENGTH("HEAD", BodyEnd.STATED, "200 OK", "Stamp: s\r\n", "", ""),
    WITHOUT_LENGTH("GET", BodyEnd.CONNECTION, "200 OK", "Stamp: s\r\n", "whole", "whole"),
    FAILURE_WITHOUT_LENGTH("GET", BodyEnd.CONNECTION, "500 No", "Stamp: s\r\n", "whole", "whole");

    final HttpMethod method;
    final BodyEnd bodyEnd;
    final int status;
    final String head;
    final String text;
    final String body;

    Answer(
        String method, BodyEnd bodyEnd, String status, String headers, String rest, String body) {
      this.method = HttpMethod.valueOf(method);
      this.bodyEnd = bodyEnd;
      this.status = Integer.parseInt(status.substring(0, 3));
      this.head = "HTTP/1.1 " + status + "\r\nRequest-Id: " + ID + "\r\n" + headers + "\r\n";
      this.text = head + rest;
      this.body = body;
    }

    /** Returns what must be read if the connection ends regularly after some bytes. */
    String readOf(int bytes) {
      if (bodyEnd == BodyEnd.CONNECTION && bytes >= head.length()) {
        return ReceivedAnswer.whole(status, text.substring(head.length(), bytes));
      }
      return bytes == text.length() ? ReceivedAnswer.whole(status, body) : ReceivedAnswer.FAILURE;
    }

    /** Returns what must be read if the connection is reset after some bytes. */
    String readOfReset(int bytes) {
      return bodyEnd == BodyEnd.CONNECTION ? ReceivedAnswer.FAILURE : readOf(bytes);
    }
  }

  /** How a connection ends. */
  private enum End {
    REGULAR,
    RESET;

    void end(Socket socket) throws IOException {
      if (this == RESET) {
        AnswerServer.reset(socket);
      } else {
        socket.close();
      }
    }
  }

  /** Writes a text in one write, or in two if the first part is not empty. */
  private static void write(Socket socket, String text, int firstBytes) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    if (firstBytes > 0) {
      socket.getOutputStream().write(bytes, 0, firstBytes);
      Thread.yield();
    }
    socket.getOutputStream().write(bytes, firstBytes, bytes.length - firstBytes);
  }

  private String readOf(Answer answer, boolean kept) throws Exception {
    if (kept) {
      fixture.send(HttpMethod.GET, "first", true).await();
    }
    return fixture.send(answer.method, ID, !kept).await();
  }

  /** Lists the places of the cut at which something else than expected is read. */
  private List<String> wrongCuts(Answer answer, End end, boolean kept, boolean twoWrites)
      throws Exception {
    List<String> wrong = new ArrayList<>();
    for (int i = 0; i <= answer.text.length(); i++) {
      int bytes = i;
      fixture
          .server()
          .setScript(
              (place, socket) -> {
                if (kept && place == 1) {
                  write(socket, FIRST, 0);
                  return;
                }
                write(socket, answer.text.substring(0, bytes), twoWrites ? bytes / 2 : 0);
                end.end(socket);
              });
      String read = readOf(answer, kept);
      String expected = end == End.RESET ? answer.readOfReset(bytes) : answer.readOf(bytes);
      boolean lostByReset = end == End.RESET && read.equals(ReceivedAnswer.FAILURE);
      if (!read.equals(expected) && !lostByReset) {
        wrong.add("after " + bytes + " bytes: " + read);
      }
    }
    return wrong;
  }

  @ParameterizedTest
  @EnumSource
  void readsNoCutAnswerAsWhole(Answer answer) throws Exception {
    List<String> wrong = new ArrayList<>();
    for (End end : End.values()) {
      for (boolean kept : new boolean[] {false, true}) {
        for (boolean twoWrites : new boolean[] {false, true}) {
          wrong.addAll(wrongCuts(answer, end, kept, twoWrites));
        }
      }
    }
    assertThat(wrong, is(empty()));
  }

  private String readOfText(String text) throws Exception {
    fixture
        .server()
        .setScript(
            (place, socket) -> {
              write(socket, text, 0);
              socket.close();
            });
    return fixture.send(HttpMethod.GET, ID, true).await();
  }

  @ParameterizedTest
  @CsvSource({
    "1.1, Content-Length: 5|Content-Length: 3",
    "1.1, Content-Length: 3|Content-Length: 5",
    "1.1, 'Content-Length: 3, 5'",
    "1.0, Content-Length: 5|Content-Length: 3",
    "1.0, Content-Length: 3|Content-Length: 5",
    "1.0, 'Content-Length: 3, 5'",
    "1.1, Content-Length: -1",
    "1.0, Content-Length: -1",
    "1.1, Content-Length: +5",
    "1.1, Content-Length: 5x",
    "1.1, Content-Length: 0x5",
    "1.1, Content-Length: 99999999999999999999",
    "1.1, Content-Length:",
    "1.0, Content-Length:",
    "1.1, Content-Length: 9",
    "1.0, Content-Length: 5|Content-Length: 5",
    "1.1, Transfer-Encoding: chunked"
  })
  void readsNoAnswerWhoseBodyHasNoKnownEnd(String version, String headers) throws Exception {
    String head = "HTTP/" + version + " 200 OK\r\nRequest-Id: a1\r\n";
    String text = head + headers.replace("|", "\r\n") + "\r\n\r\nwhole";
    assertThat(readOfText(text), is(ReceivedAnswer.FAILURE));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"000", "001", "020", "099", "600", "999", "+200", "0200", "2000", "-200", "2x0"})
  void readsNoAnswerWithoutStatus(String status) throws Exception {
    String head = "HTTP/1.1 " + status + " OK\r\nRequest-Id: a1\r\nContent-Length: 5\r\n\r\n";
    assertThat(readOfText(head + "whole"), is(ReceivedAnswer.FAILURE));
    assertThat(readOfText(head + "whole" + Answer.LENGTH.text), is(ReceivedAnswer.FAILURE));
    assertThat(
        readOfText(head.replace("Content-Length: 5\r\n", "") + Answer.LENGTH.text),
        is(ReceivedAnswer.FAILURE));
  }

  @ParameterizedTest
  @ValueSource(strings = {"100", "102", "103", "199"})
  void readsAnswerAfterInterimOne(String status) throws Exception {
    String interim = "HTTP/1.1 " + status + " Wait\r\n\r\n";
    assertThat(readOfText(interim + Answer.LENGTH.text), is(ReceivedAnswer.whole(200, "whole")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "Content-Length: 3\r\n"})
  void readsNoChunksInAnOlderVersion(String headers) throws Exception {
    String head = "HTTP/1.0 200 OK\r\nRequest-Id: a1\r\n" + headers;
    String chunks = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    assertThat(readOfText(head + chunks), is(ReceivedAnswer.FAILURE));
  }

  @ParameterizedTest
  @EnumSource
  void readsNoAnswerWithoutLengthAsWholeIfItsRequestIsNotRead(End end) throws Exception {
    Answer answer = Answer.WITHOUT_LENGTH;
    for (int i = 0; i <= answer.text.length(); i++) {
      String part = answer.text.substring(0, i);
      fixture
          .server()
          .setScript(
              (place, socket) -> {
                write(socket, part, 0);
                end.end(socket);
              });
      byte[] unread = new byte[UNREAD_BYTES];
      String read = fixture.send(HttpMethod.POST, ID, true, unread).await();
      assertThat("after " + i + " bytes", read, is(ReceivedAnswer.FAILURE));
    }
  }

  @Test
  void failsIfTheServerSwitchesToAnotherProtocol() throws Exception {
    String head = "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n";
    fixture.server().setScript((place, socket) -> write(socket, head + Answer.LENGTH.text, 0));
    assertThat(fixture.send(HttpMethod.GET, ID, true).await(), is(ReceivedAnswer.FAILURE));
  }
}
