package org.gentianslip.ctl;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;

import java.io.IOException;
import java.net.InetAddress;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import okio.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The client for the operators' port")
class OperatorClientTest {

  private static final int LARGE_BYTES = 17 << 20;

  private final MockWebServer server = new MockWebServer();

  @BeforeEach
  void start() throws IOException {
    server.start(InetAddress.getByName("127.0.0.1"), 0);
  }

  @AfterEach
  void stop() {
    server.close();
  }

  @Test
  void readsNoResponseThatIsTooLarge() {
    var body = new Buffer().writeUtf8(" ".repeat(LARGE_BYTES) + "{}");
    server.enqueue(new MockResponse.Builder().body(body).build());
    OperatorAddress address = OperatorAddress.parse("127.0.0.1:" + server.getPort());
    assertThat(
        new OperatorClient("key").get(address, "status"),
        instanceOf(OperatorResponse.Unreachable.class));
  }
}
