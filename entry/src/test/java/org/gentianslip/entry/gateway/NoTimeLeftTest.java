package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.net.Socket;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Guards against requests that are sent after their deadline, or told as possibly run then. */
@DisplayName("A server whose event loops need 250 ms for each request that they send")
class NoTimeLeftTest {

  private static final long SENDING_MILLIS = 250;

  /** The time left is enough for an attempt when it begins, and used up when it is written. */
  private static final long SHORT_MILLIS = 200;

  @RegisterExtension
  private final ServerFixture fixture =
      new ServerFixture(
          new PlainHeaders(() -> {}, () -> OverloadedServerTest.sleep(SENDING_MILLIS)));

  @Test
  void writesNothingOnNewConnections() throws Exception {
    try (Socket socket = fixture.connect()) {
      assertThat(ServerFixture.call(socket, "r1", SHORT_MILLIS).isNotRun(), is(true));
    }
    assertThat(fixture.receivedDeadlines(), hasSize(0));
  }

  @Test
  void writesNothingOnKeptConnections() throws Exception {
    try (Socket socket = fixture.connect()) {
      ServerFixture.Answer first = ServerFixture.call(socket, "r1", ServerFixture.TIMEOUT_MILLIS);
      assertThat(first.isSuccess(), is(true));
      assertThat(ServerFixture.call(socket, "r2", SHORT_MILLIS).isNotRun(), is(true));
    }
    assertThat(fixture.receivedDeadlines(), hasSize(1));
  }
}
