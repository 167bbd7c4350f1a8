package org.gentianslip.entry.configservice;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;
import org.gentianslip.entry.http.Sha256;
import org.gentianslip.entry.testing.ServiceFleet;
import org.gentianslip.standin.config.ConfigMode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Publishes settings to two instances while the config service is restored or unavailable. */
@DisplayName("An accepted revision")
class SettingsAdoptionTest {

  private ServiceFleet fleet;

  @BeforeEach
  void start() throws IOException {
    fleet = new ServiceFleet(2, 1_000);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  private void publish(int deadlineMillis) throws IOException {
    fleet.config.publishSettings(List.of(ServiceFleet.settings(deadlineMillis)));
  }

  private void awaitRevision(long revision) {
    fleet.awaitRevision(0, revision);
    fleet.awaitRevision(1, revision);
  }

  private long revision(int index) throws IOException {
    return fleet.status(index).path("settingsRevision").asLong();
  }

  /** Publishes a manifest by writing one key after the other, as an operator's tool does. */
  private void publishByKeys(long revision, int deadlineMillis) throws IOException {
    String part = ServiceFleet.settings(deadlineMillis).toString();
    String hash = Sha256.hex(part);
    fleet.config.publish("settings/parts/" + hash, part);
    String manifest =
        "{\"revision\":%d,\"parts\":[{\"key\":\"settings/parts/%s\",\"sha256\":\"%s\"}]}";
    fleet.config.publish("settings/manifest", manifest.formatted(revision, hash, hash));
  }

  @Test
  void isInForceAtBothInstances() throws IOException {
    publish(1_100);
    awaitRevision(2);
  }

  @Test
  void staysInForceWhenTheServiceIsRestoredToAnEarlierState() throws IOException {
    publish(1_100);
    awaitRevision(2);
    fleet.config.restore(1);
    fleet.replace(1);
    fleet.awaitRevision(1, 2);
    assertThat(revision(0), is(2L));
  }

  @Test
  void isReplacedByTheNextOneAfterTheServiceWasRestoredToAnEarlierState() throws IOException {
    publish(1_100);
    publish(1_200);
    awaitRevision(3);
    fleet.config.restore(2);
    publishByKeys(7, 1_300);
    awaitRevision(7);
  }

  @Test
  void reachesAnInstanceStartedWhileTheServiceReturnsAnEarlierState() throws IOException {
    publish(1_100);
    awaitRevision(2);
    fleet.config.setMode(ConfigMode.UP, 0);
    fleet.config.restore(1);
    fleet.replace(0);
    assertThat(revision(0), is(2L));
  }

  @Test
  void staysInForceWhenTheNextOneIsInvalid() throws IOException {
    publish(1_100);
    awaitRevision(2);
    publish(50);
    fleet.config.publishSettings(
        List.of(ServiceFleet.settings(50)), OptionalLong.empty(), OptionalLong.of(9));
    publishByKeys(10, 1_400);
    awaitRevision(10);
    String rejected = fleet.status(0).path("rejectedRevision").toString();
    assertThat(rejected, containsString("firstTokenTargetMillis"));
  }
}
