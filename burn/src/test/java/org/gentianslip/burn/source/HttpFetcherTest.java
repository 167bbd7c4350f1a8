package org.gentianslip.burn.source;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.time.Duration;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import okio.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A fetcher of documents")
class HttpFetcherTest {

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
  void readsNoDocumentThatIsTooLarge() {
    var body = new Buffer().writeUtf8(" ".repeat(LARGE_BYTES));
    server.enqueue(new MockResponse.Builder().body(body).build());
    var fetcher = new HttpFetcher(Duration.ofSeconds(30));
    assertThrows(IOException.class, () -> fetcher.get("127.0.0.1:" + server.getPort(), "/metrics"));
  }
}
