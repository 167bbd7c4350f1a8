package org.gentianslip.entry.process;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.awaitility.Awaitility;
import org.gentianslip.entry.process.LoopbackFleet.HttpResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The payload of a customer that is bound to a region")
class ResidencyTest {

  private static final String PAYLOAD_MARK = "mark-of-the-payload";
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private LoopbackFleet fleet;

  @BeforeEach
  void start() {
    fleet = LoopbackFleet.start(1, 2);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private String capturedTraffic() {
    return new String(fleet.relay.capturedBytes("any/north"), UTF_8)
        + new String(fleet.relay.capturedBytes("any/south"), UTF_8);
  }

  @Test
  void isServedInItsRegion() throws IOException {
    assertThat(fleet.ask("south-0", "bound", PAYLOAD_MARK).servedRegion(), is("south"));
  }

  @Nested
  @DisplayName("when its caller reaches another region")
  class InAnotherRegion {

    @Test
    void isRefusedBeforeItsBodyIsSent() throws IOException {
      try (var socket = new Socket("127.0.0.1", fleet.configs.get("north-0").callerPort())) {
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        OutputStream out = socket.getOutputStream();
        out.write(
            ("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer bound-key\r\n"
                    + "X-Kind: ask\r\nContent-Length: 1000\r\n\r\n")
                .getBytes(UTF_8));
        out.flush();
        String result = new String(socket.getInputStream().readAllBytes(), UTF_8);
        assertThat(result, startsWith("HTTP/1.1 421"));
      }
    }

    @Test
    void isAnsweredWithTheInstancesOfItsRegion() throws IOException {
      assertThat(
          fleet.ask("north-0", "bound", PAYLOAD_MARK).body(), containsString("\"id\":\"south-0\""));
    }

    @Test
    void neverReachesAnEngineThere() throws IOException {
      fleet.ask("north-0", "bound", PAYLOAD_MARK);
      assertThat(fleet.engines.get("north").stats().seen(), is(0L));
    }
  }

  @Nested
  @DisplayName("when the engines of its region are gone")
  class WithoutEngines {

    @BeforeEach
    void removeEngines() {
      fleet.publishEngineState("south", "leaving");
      fleet.publishSettings(Map.of("spillChargeMillis", 0));
      awaitServedInNorth("probe");
    }

    private void awaitServedInNorth(String prompt) {
      Awaitility.await()
          .atMost(TIMEOUT)
          .until(() -> "north".equals(fleet.ask("south-0", "free", prompt).servedRegion()));
    }

    @Test
    @DisplayName("is not sent to another region, although the payload of a free customer is")
    void isNotSentToAnotherRegion() throws IOException {
      HttpResult bound = fleet.ask("south-0", "bound", PAYLOAD_MARK);
      awaitServedInNorth("control-mark");
      assertThat(bound.outcome(), is("not-run"));
      assertThat(capturedTraffic(), containsString("control-mark"));
      assertThat(capturedTraffic(), not(containsString(PAYLOAD_MARK)));
    }

    @Test
    void appearsInNoOperatorPage() throws IOException {
      HttpResult bound = fleet.ask("south-0", "bound", PAYLOAD_MARK);
      String pages =
          fleet.operatorPage("south-0", "/metrics")
              + fleet.operatorPage("south-0", "/status")
              + fleet.operatorPage("south-0", "/explain/" + bound.requestId());
      assertThat(pages, not(containsString(PAYLOAD_MARK)));
    }
  }

  @Test
  void isRefusedByPeersInOtherRegions() throws IOException {
    HttpResult result =
        fleet.call(
            new Request.Builder()
                .url(
                    "http://127.0.0.1:"
                        + fleet.configs.get("north-0").peerPort()
                        + "/peer/v1/forward/v1/completions")
                .header("X-Peer-Key", LoopbackFleet.PEER_KEY)
                .header("X-Customer", "bound")
                .header("X-Kind", "ask")
                .post(
                    RequestBody.create(
                        "{\"model\":\"m\",\"prompt\":\"x\"}", MediaType.get("application/json")))
                .build());
    assertThat(result.status(), is(421));
  }

  @Test
  @DisplayName("is refused if a peer sends a wrong key")
  void isRefusedIfThePeerKeyIsWrong() throws IOException {
    HttpResult result =
        fleet.call(
            new Request.Builder()
                .url(
                    "http://127.0.0.1:"
                        + fleet.configs.get("south-0").peerPort()
                        + "/peer/v1/forward/v1/completions")
                .header("X-Peer-Key", "forged")
                .header("X-Customer", "bound")
                .header("X-Kind", "ask")
                .post(RequestBody.create("{}", MediaType.get("application/json")))
                .build());
    assertThat(result.status(), is(403));
  }
}
