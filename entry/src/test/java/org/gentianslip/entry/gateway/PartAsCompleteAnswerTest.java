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
import java.util.concurrent.CountDownLatch;
import org.gentianslip.entry.testing.AnswerServer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against parts of answers without a length that are passed on as whole ones. */
@DisplayName("A client that reads an answer without a length")
class PartAsCompleteAnswerTest {

  private static final String ID = "a1";
  private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nStamp: s\r\n\r\n";

  @RegisterExtension private final ClientFixture fixture = new ClientFixture();

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void readsNoPartIfItClosesTheConnectionItself() throws Exception {
    fixture.server().setScript((place, socket) -> write(socket, HEAD + "who"));
    ReceivedAnswer answer = fixture.send(HttpMethod.GET, ID, true);
    answer.awaitHead();
    fixture.shutdownLoops();
    assertThat(answer.await(), is(ReceivedAnswer.FAILURE));
  }

  @Nested
  @DisplayName("while it writes its request")
  class WhileWriting {

    /** The size of a request that fits into no buffer of a connection. */
    private static final int UPLOAD_BYTES = 16 << 20;

    private static final int UPLOADS = 20;

    private ReceivedAnswer upload() {
      return fixture.send(HttpMethod.POST, ID, true, new byte[UPLOAD_BYTES]);
    }

    private List<String> answersToUploads(AnswerServer.Script script) throws Exception {
      fixture.server().setScript(script);
      List<String> answers = new ArrayList<>();
      for (int i = 0; i < UPLOADS; i++) {
        String read = upload().await();
        if (!read.equals(ReceivedAnswer.FAILURE)) {
          answers.add("upload " + i + ": " + read);
        }
      }
      return answers;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1 << 16, 1 << 20, 8 << 20})
    void readsNoPartBeforeReset(int readBytes) throws Exception {
      AnswerServer.Script script =
          (place, socket) -> {
            write(socket, HEAD + "who");
            socket.getInputStream().readNBytes(readBytes);
            AnswerServer.reset(socket);
          };
      assertThat(answersToUploads(script), is(empty()));
    }

    @Test
    void readsNoPartThatArrivesWithReset() throws Exception {
      AnswerServer.Script script =
          (place, socket) -> {
            var reset = new CountDownLatch(1);
            fixture.stopLoopUntil(reset);
            write(socket, HEAD + "who");
            AnswerServer.reset(socket);
            reset.countDown();
          };
      assertThat(answersToUploads(script), is(empty()));
    }

    @Test
    void readsNoPartBeforeEndAndReset() throws Exception {
      AnswerServer.Script script =
          (place, socket) -> {
            write(socket, HEAD + "who");
            socket.shutdownOutput();
            socket.getInputStream().readNBytes(1 << 20);
            AnswerServer.reset(socket);
          };
      assertThat(answersToUploads(script), is(empty()));
    }

    @Test
    void readsWholeAnswerIfItsRequestIsReadLater() throws Exception {
      fixture
          .server()
          .setScript(
              (place, socket) -> {
                write(socket, HEAD + "whole");
                socket.shutdownOutput();
                socket.getInputStream().readNBytes(UPLOAD_BYTES);
                socket.close();
              });
      assertThat(upload().await(), is(ReceivedAnswer.whole(200, "whole")));
    }
  }
}
