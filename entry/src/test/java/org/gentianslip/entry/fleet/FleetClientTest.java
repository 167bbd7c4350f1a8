package org.gentianslip.entry.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;
import org.gentianslip.entry.testing.EndlessServer;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("The client for other instances")
class FleetClientTest {

  private static final long MAX_BYTES = 24L << 20;

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "head, 'A: b\r\n', 'A: b\r\n'",
    "body, '\r\n', ' '",
    "chunk extension, 'Transfer-Encoding: chunked\r\n\r\n1;a=', 'a'",
    "name in a compressed body, 'Content-Encoding: gzip\r\n\r\n{gzip}', 'a'",
  })
  void closesItsConnectionInsideAnEndless(String place, String begin, String repeated)
      throws Exception {
    try (var server = new EndlessServer("HTTP/1.1 200 OK\r\n" + begin, repeated)) {
      var failed = new CompletableFuture<Boolean>();
      new FleetClient().get(server.address(), "/", JsonNode.class, listener(failed));
      assertThat(failed.get(), is(true));
      assertThat(server.awaitSentBytes(), is(lessThan(MAX_BYTES)));
    }
  }

  private static FleetClient.Listener<JsonNode> listener(CompletableFuture<Boolean> failed) {
    return new FleetClient.Listener<>() {
      @Override
      public void onResponse(JsonNode response) {
        failed.complete(false);
      }

      @Override
      public void onFailure() {
        failed.complete(true);
      }
    };
  }
}
