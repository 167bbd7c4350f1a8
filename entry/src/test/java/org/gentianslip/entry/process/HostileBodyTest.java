package org.gentianslip.entry.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.awaitility.Awaitility;
import org.gentianslip.entry.process.LoopbackFleet.HttpResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("An unusual request body")
class HostileBodyTest {

  private static final int NESTING_DEPTH = 200_000;
  private static final int LARGE_BODY_BYTES = 900_000;
  private static final Path SPOOL_DIRECTORY = Path.of("tmp");
  private static final Duration OBSERVATION_PERIOD = Duration.ofSeconds(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private LoopbackFleet fleet;

  @BeforeEach
  void start() {
    fleet = LoopbackFleet.start(1, 2);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private HttpResult post(String body) throws IOException {
    return fleet.call(
        new Request.Builder()
            .url(
                "http://127.0.0.1:" + fleet.configs.get("north-0").callerPort() + "/v1/completions")
            .header("Authorization", "Bearer free-key")
            .header("X-Kind", "ask")
            .post(RequestBody.create(body, MediaType.get("application/json")))
            .build());
  }

  /** Returns the files in the directory where the server would store large bodies. */
  private static Set<Path> spooledFiles() throws IOException {
    if (!Files.isDirectory(SPOOL_DIRECTORY)) {
      return Set.of();
    }
    try (var files = Files.list(SPOOL_DIRECTORY)) {
      return files.collect(Collectors.toSet());
    }
  }

  @Test
  @DisplayName("that is nested deeply is malformed JSON")
  void refusesDeepNesting() throws IOException {
    assertThat(post("[".repeat(NESTING_DEPTH)).body(), containsString("\"malformed_json\""));
  }

  @Test
  @DisplayName("that names a member twice is malformed JSON")
  void refusesDuplicateMembers() throws IOException {
    assertThat(post("{\"model\":\"m\",\"model\":\"m\"}").status(), is(400));
  }

  @Test
  @DisplayName("that is large is not written to disk")
  void keepsLargeBodiesInMemory() throws IOException {
    Set<Path> before = spooledFiles();
    try (var socket = new Socket("127.0.0.1", fleet.configs.get("north-0").callerPort())) {
      OutputStream out = socket.getOutputStream();
      out.write(
          ("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer free-key\r\n"
                  + "X-Kind: ask\r\nContent-Type: application/json\r\nContent-Length: "
                  + (LARGE_BODY_BYTES + 1)
                  + "\r\n\r\n"
                  + "a".repeat(LARGE_BODY_BYTES))
              .getBytes(StandardCharsets.UTF_8));
      out.flush();
      Awaitility.await()
          .during(OBSERVATION_PERIOD)
          .atMost(TIMEOUT)
          .until(() -> before.containsAll(spooledFiles()));
      out.write('a');
      out.flush();
      socket.getInputStream().read();
    }
  }

  @Test
  @DisplayName("of a branch without spill stays in its region even if no engine is left")
  void staysInItsRegionWithoutSpill() throws IOException {
    fleet.publishSettings(Map.of("spillEnabled", false));
    Awaitility.await().until(() -> fleet.revisionAt("north-0") == 2);
    fleet.publishEngineState("north", "leaving");
    Awaitility.await().until(() -> fleet.ask("north-0", "free", "x").status() == 503);
    assertThat(fleet.engines.get("south").stats().seen(), is(0L));
  }
}
