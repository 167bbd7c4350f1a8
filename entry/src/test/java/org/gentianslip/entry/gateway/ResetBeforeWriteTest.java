package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.gentianslip.entry.testing.AnswerServer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Guards against requests without an end, as their write fails while they are being sent. */
@DisplayName("A server whose backend server resets a kept connection before the next write")
class ResetBeforeWriteTest {

  private static final long RESET_MILLIS = 50;

  private static final String ANSWER =
      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n";

  private final AtomicReference<Socket> kept = new AtomicReference<>();

  @RegisterExtension
  private final ServerFixture fixture =
      new ServerFixture(new PlainHeaders(() -> {}, this::resetKept));

  private void resetKept() {
    Socket socket = kept.getAndSet(null);
    if (socket == null) {
      return;
    }
    try {
      AnswerServer.reset(socket);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    OverloadedServerTest.sleep(RESET_MILLIS);
  }

  @Test
  void answersLongBeforeTheDeadline() throws Exception {
    try (var backend = new AnswerServer();
        Socket socket = fixture.connect()) {
      fixture.publishAt(backend.address());
      backend.setScript(
          (place, connection) -> {
            byte[] answer = String.format(ANSWER, "r1").getBytes(StandardCharsets.US_ASCII);
            connection.getOutputStream().write(answer);
            kept.set(connection);
          });
      ServerFixture.call(socket, "r1", ServerFixture.TIMEOUT_MILLIS);
      long begunNanos = System.nanoTime();
      ServerFixture.call(socket, "r2", ServerFixture.TIMEOUT_MILLIS);
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunNanos);
      assertThat(millis, lessThan(ServerFixture.TIMEOUT_MILLIS / 2));
    }
  }
}
