package org.gentianslip.entry.process;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.gentianslip.entry.http.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The status of an instance")
class StatusTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private LoopbackFleet fleet;

  @BeforeEach
  void start() {
    fleet = LoopbackFleet.start(2, 2);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private JsonNode instance(String id) throws IOException {
    String page = fleet.operatorPage("north-0", "/status");
    JsonNode instances = Json.parse(page.getBytes(StandardCharsets.UTF_8)).path("instances");
    for (JsonNode instance : instances) {
      if (instance.path("id").asText().equals(id)) {
        return instance;
      }
    }
    throw new AssertionError("No instance " + id + " in " + page);
  }

  @Test
  void reportsThatPeersAreHeard() {
    await().atMost(TIMEOUT).until(() -> instance("north-1").path("heard").asBoolean());
  }

  @Test
  void reportsTheSettingsRevisionsOfPeers() {
    await().atMost(TIMEOUT).until(() -> instance("north-1").path("settingsRevision").asLong() == 1);
  }

  @Test
  void reportsThatThePeerIsSilentAfterItCloses() throws IOException {
    await().atMost(TIMEOUT).until(() -> instance("north-1").path("heard").asBoolean());
    fleet.entries.get("north-1").close();
    await().atMost(TIMEOUT).until(() -> !instance("north-1").path("heard").asBoolean());
    assertThat(instance("north-1").path("state").asText(), is("silent"));
  }
}
