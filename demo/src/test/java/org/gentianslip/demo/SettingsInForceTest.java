package org.gentianslip.demo;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gentianslip.demo.fleet.EnginePlan;
import org.gentianslip.demo.fleet.EntryNode;
import org.gentianslip.demo.fleet.Fleet;
import org.gentianslip.demo.fleet.RegionPlan;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Publishes valid settings, then invalid ones, restores an old backup of the config service, and
 * restarts an instance. The scenario runs once, before the tests.
 */
@DisplayName("Settings that were accepted")
class SettingsInForceTest {

  private static final String RESTARTED = "pk-central-1";
  private static final String SUSPENDED = "pk-central-2";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final long WAIT_AFTER_RESTORE_MILLIS = 2_500;
  private static final int MAX_RESTORE_STEPS = 20;

  private static Fleet fleet;
  private static long acceptedRevision;
  private static List<Long> revisionsAfterInvalid;
  private static String findings;
  private static long restoredRevision;
  private static long revisionOfRestarted;
  private static List<Long> revisionsAfterRestore;

  @BeforeAll
  static void publishAndRestoreBackup() throws IOException, InterruptedException {
    fleet =
        SmallFleet.start(
            new EnginePlan(1, 1, 5),
            RegionPlan.of("pk-central", 2, 0, 0),
            RegionPlan.of("pk-north", 1, 0, 0));
    fleet.process(SUSPENDED).suspend();
    SmallFleet.publishWithoutWaiting(
        fleet, "qadri", values -> values.put("deadlineMillis", 21_000));
    acceptedRevision = fleet.publishedRevision();
    fleet.process(SUSPENDED).resume();
    await().atMost(TIMEOUT).until(SettingsInForceTest::revisions, r -> allAre(r, acceptedRevision));

    fleet.publishSettings(List.of(new ObjectMapper().readTree("{\"regionz\": 1}")));
    await().atMost(TIMEOUT).until(() -> statusOfSuspended().contains("regionz"));
    findings = statusOfSuspended();
    revisionsAfterInvalid = revisions();

    restoredRevision = restoreOlderThan(acceptedRevision);
    fleet.restartEntry(RESTARTED);
    revisionOfRestarted = revision(RESTARTED);
    TimeUnit.MILLISECONDS.sleep(WAIT_AFTER_RESTORE_MILLIS);
    revisionsAfterRestore = revisions();
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      fleet.close();
    }
  }

  @Test
  void areLaterThanTheFirst() {
    assertThat(acceptedRevision, greaterThan(1L));
  }

  @Test
  void stayInForceWhenInvalidOnesArePublished() {
    assertThat(revisionsAfterInvalid, everyItem(is(acceptedRevision)));
  }

  @Test
  @DisplayName("stay in force, and the findings of the invalid ones are reported")
  void stayInForceAndFindingsOfInvalidOnesAreReported() {
    assertThat(findings, containsString("regionz"));
  }

  @Test
  @DisplayName("are later than those that the config service returns after the restoration")
  void areLaterThanTheBackup() {
    assertThat(restoredRevision, lessThan(acceptedRevision));
  }

  @Test
  void reachInstanceThatStartsAfterTheBackupWasRestored() {
    assertThat(revisionOfRestarted, is(acceptedRevision));
  }

  @Test
  void neverRevertWhenTheBackupIsRestored() {
    assertThat(revisionsAfterRestore, everyItem(is(acceptedRevision)));
  }

  private static long restoreOlderThan(long revision) throws IOException {
    for (int i = 0; i < MAX_RESTORE_STEPS && fleet.publishedRevision() >= revision; i++) {
      fleet.sendAdminRequest("config", "/admin/mode", Map.of("mode", "restore", "steps", 1));
    }
    return fleet.publishedRevision();
  }

  private static String statusOfSuspended() throws IOException {
    return fleet.operatorJson(SUSPENDED, "/status").toString();
  }

  private static List<Long> revisions() {
    List<Long> revisions = new ArrayList<>();
    for (EntryNode entry : fleet.layout().entries()) {
      revisions.add(revision(entry.id().value()));
    }
    return revisions;
  }

  private static long revision(String entry) {
    try {
      return fleet.operatorJson(entry, "/status").path("settingsRevision").asLong();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean allAre(List<Long> revisions, long revision) {
    return revisions.stream().allMatch(r -> r == revision);
  }
}
