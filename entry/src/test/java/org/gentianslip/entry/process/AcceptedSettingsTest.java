package org.gentianslip.entry.process;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.gentianslip.standin.config.ConfigMode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("An accepted revision of the settings")
class AcceptedSettingsTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final Duration OBSERVATION_PERIOD = Duration.ofSeconds(3);

  private LoopbackFleet fleet;

  @BeforeEach
  void start() {
    fleet = LoopbackFleet.start(2, 2);
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private void awaitOnAllInstances(long revision) {
    for (String id : fleet.configs.keySet()) {
      await().atMost(TIMEOUT).until(() -> fleet.revisionAt(id) == revision);
    }
  }

  /** Fails if the revision in force changes during the observation period. */
  private void assertStays(String id, long revision) {
    await()
        .pollInterval(Duration.ofMillis(100))
        .during(OBSERVATION_PERIOD)
        .atMost(TIMEOUT)
        .until(() -> fleet.revisionAt(id) == revision);
  }

  @Test
  void comesIntoForceOnAllInstances() {
    fleet.publishSettings(Map.of("queueTimeoutMillis", 4000));
    awaitOnAllInstances(2);
  }

  @Nested
  @DisplayName("when the config service is down")
  class ServiceDown {

    @BeforeEach
    void publishThenStopConfigService() {
      fleet.publishSettings(Map.of("queueTimeoutMillis", 4000));
      awaitOnAllInstances(2);
      fleet.config.setMode(ConfigMode.DOWN, 0);
    }

    @Test
    void staysInForce() {
      assertStays("north-0", 2);
    }
  }

  @Nested
  @DisplayName("when the config service is restored to an older revision")
  class ServiceRestored {

    @BeforeEach
    void publishThenRestore() {
      fleet.publishSettings(Map.of("queueTimeoutMillis", 4000));
      awaitOnAllInstances(2);
      fleet.config.restore(1);
    }

    @Test
    void staysInForce() {
      assertStays("south-0", 2);
    }

    @Test
    void isFetchedFromPeersByReplacedInstances() {
      fleet.entries.get("north-1").close();
      fleet.startEntry("north-1");
      fleet.awaitReady();
      assertStays("north-1", 2);
    }
  }

  @Nested
  @DisplayName("when an invalid revision follows")
  class InvalidFollows {

    @BeforeEach
    void publishInvalid() {
      fleet.publishSettings(Map.of("queueTimeoutMillis", -1));
    }

    @Test
    void staysInForce() {
      assertStays("north-0", 1);
    }

    @Test
    void isReportedTogetherWithTheFindingsOfTheInvalidOne() throws IOException {
      await()
          .atMost(TIMEOUT)
          .until(() -> fleet.operatorPage("south-1", "/status").contains("rejectedRevision"));
      assertThat(fleet.operatorPage("south-1", "/status"), containsString("queueTimeoutMillis"));
    }

    @Test
    void isReplacedByTheNextValidRevision() throws IOException {
      fleet.publishSettings(Map.of("queueTimeoutMillis", 3000));
      awaitOnAllInstances(3);
      assertThat(fleet.revisionAt("south-1"), is(3L));
    }
  }
}
