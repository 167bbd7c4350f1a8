package org.gentianslip.standin.config;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import org.gentianslip.standin.http.Digests;
import org.gentianslip.standin.http.StandinJson;
import org.gentianslip.standin.http.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class ConfigStandinTest {

  private static final String WATCH_PATH = "/v1/values/directory?after=1&waitMillis=60000";

  private ConfigStandin config =
      ConfigStandin.start(ConfigOptions.defaults(), Map.of("directory", "{\"version\":1}"));
  private final TestClient client = new TestClient(() -> config.port());

  @AfterEach
  void close() {
    config.close();
  }

  @Nested
  class WhenRead {

    @Test
    void respondsWithValueAndRevision() throws IOException {
      var response = client.get("/v1/values/directory");
      assertThat(response.body(), is("{\"version\":1}"));
      assertThat(response.header("X-Revision"), is("1"));
    }

    @Test
    void respondsNotFoundForUnknownKey() throws IOException {
      assertThat(client.get("/v1/values/other").status(), is(404));
    }

    @Test
    void refusesCallsAboveRateLimit() throws IOException {
      restartWith(ConfigOptions.defaults().withCallsPerSecond(1));
      int refused = 0;
      for (int i = 0; i < 50; i++) {
        refused += client.get("/v1/values/directory").status() == 429 ? 1 : 0;
      }
      assertThat(config.calls().refused(), is((long) refused));
      assertThat(config.calls().peakPerSecond(), is(1));
      assertThat(refused, greaterThan(0));
    }
  }

  @Nested
  class WhenWatched {

    @Test
    void respondsOnceRevisionIncreases() throws Exception {
      var waiting = client.async("GET", "/v1/values/directory?after=1&waitMillis=60000", "");
      awaitWatches(1);
      config.publish("directory", "2");
      assertThat(waiting.get(30, TimeUnit.SECONDS).body(), is("2"));
    }

    @Test
    void respondsNotModifiedAfterWait() throws IOException {
      assertThat(client.get("/v1/values/directory?after=1&waitMillis=1").status(), is(304));
    }

    @Test
    void closesConnectionsOfWatchesWhenDown() throws Exception {
      var waiting = client.async("GET", "/v1/values/directory?after=1&waitMillis=60000", "");
      awaitWatches(1);
      client.post("/admin/mode", "{\"mode\":\"down\"}");
      assertThrows(ExecutionException.class, () -> waiting.get(30, TimeUnit.SECONDS));
      assertThat(client.get("/v1/values/directory").status(), is(503));
    }

    /** Closed connections acquire the monitor of the stand-in, so close() must not hold it. */
    @Test
    void closesWithoutDeadlockWhileWatchersDisconnect() {
      for (int round = 0; round < 30; round++) {
        var calls = new ArrayList<Call>();
        for (int i = 0; i < 16; i++) {
          calls.add(client.prepare("GET", WATCH_PATH, null, Map.of()));
          client.enqueue(calls.get(i));
        }
        awaitWatches(16);
        calls.forEach(Call::cancel);
        assertTimeoutPreemptively(Duration.ofSeconds(20), config::close);
        config = ConfigStandin.start(ConfigOptions.defaults(), Map.of("directory", "1"));
      }
    }

    private void awaitWatches(int count) {
      await().until(() -> config.calls().waiting() == count);
    }
  }

  @Nested
  class WhenPublished {

    @Test
    void refusesChangeOfOutdatedRevision() throws IOException {
      assertThat(
          client.call("PUT", "/admin/values/k", "1", Map.of("If-Match", "0")).status(), is(200));
      var conflict = client.call("PUT", "/admin/values/k", "2", Map.of("If-Match", "0"));
      assertThat(conflict.status(), is(409));
      assertThat(client.get("/v1/values/k").body(), is("1"));
    }

    @Test
    void refusesValueAboveMaximumSize() throws IOException {
      var large = client.put("/admin/values/k", "\"" + "x".repeat(1 << 20) + "\"");
      assertThat(large.status(), is(413));
      assertThat(large.body(), containsString("value_too_large"));
    }

    @Test
    @DisplayName("publishes the parts of the settings under their SHA-256 and a manifest")
    void publishesSettings() throws IOException {
      client.post("/admin/settings", "{\"parts\":[{\"models\":[\"m\"]}]}");
      var manifest = StandinJson.MAPPER.readTree(client.get("/v1/values/settings/manifest").body());
      String part = client.get("/v1/values/" + manifest.at("/parts/0/key").asText()).body();
      assertThat(manifest.path("revision").asLong(), is(1L));
      assertThat(manifest.at("/parts/0/sha256").asText(), is(Digests.sha256(part)));
    }

    @Test
    void refusesSettingsWithUnexpectedManifestRevision() {
      config.publishSettings(List.of());
      assertThat(
          config.publishSettings(List.of(), OptionalLong.of(0), OptionalLong.empty()),
          instanceOf(PublishResult.Conflict.class));
    }

    @Test
    void hidesChangeUntilLagHasPassed() throws IOException {
      restartWith(ConfigOptions.defaults().withLagMillis(Map.of("instances/", 3_600_000L)));
      config.publish("instances/graz", "1");
      config.publish("directory", "2");
      assertThat(client.get("/v1/values/instances/graz").status(), is(404));
      assertThat(client.get("/v1/values/directory").body(), is("2"));
    }
  }

  @Nested
  class WithFaults {

    @Test
    void respondsWithOldValuesWhenStale() throws IOException {
      client.post("/admin/mode", "{\"mode\":\"stale\"}");
      config.publish("directory", "2");
      assertThat(client.get("/v1/values/directory").body(), is("{\"version\":1}"));
      client.post("/admin/mode", "{\"mode\":\"up\"}");
      assertThat(client.get("/v1/values/directory").body(), is("2"));
    }

    @Test
    void respondsWithOlderRevisionWhenRestored() throws IOException {
      config.publish("directory", "2");
      config.publish("directory", "3");
      client.post("/admin/mode", "{\"mode\":\"restore\",\"steps\":1}");
      assertThat(client.get("/v1/values/directory").header("X-Revision"), is("2"));
    }

    @Test
    void rejectsUnknownMode() throws IOException {
      assertThat(client.post("/admin/mode", "{\"mode\":\"odd\"}").status(), is(400));
    }
  }

  private void restartWith(ConfigOptions options) {
    config.close();
    config = ConfigStandin.start(options, Map.of("directory", "1"));
  }
}
