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
 * Publishes settings, invalid settings and an old backup of the config service, and replaces an
 * instance meanwhile. Facts are gathered once.
 */
@DisplayName("Settings that were accepted")
class SettingsInForceTest {

  private static final String REPLACED = "pk-central-1";
  private static final String FROZEN = "pk-central-2";
  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final long SETTLE_MILLIS = 2_500;
  private static final int MAX_CHANGES = 20;

  private static Fleet fleet;
  private static long accepted;
  private static List<Long> afterInvalid;
  private static String findings;
  private static long restored;
  private static long ofReplaced;
  private static List<Long> afterRestore;

  @BeforeAll
  static void publishAndGoBack() throws IOException, InterruptedException {
    fleet =
        SmallFleet.start(
            new EnginePlan(1, 1, 5),
            RegionPlan.of("pk-central", 2, 0, 0),
            RegionPlan.of("pk-north", 1, 0, 0));
    fleet.process(FROZEN).freeze();
    SmallFleet.publishUnseen(fleet, "qadri", values -> values.put("deadlineMillis", 21_000));
    accepted = fleet.publishedRevision();
    fleet.process(FROZEN).resume();
    await().atMost(PATIENCE).until(SettingsInForceTest::revisions, r -> allAre(r, accepted));

    fleet.publishSettings(List.of(new ObjectMapper().readTree("{\"regionz\": 1}")));
    await().atMost(PATIENCE).until(() -> rejection().contains("regionz"));
    findings = rejection();
    afterInvalid = revisions();

    restored = restoreOlderThan(accepted);
    fleet.replaceEntry(REPLACED);
    ofReplaced = revision(REPLACED);
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    afterRestore = revisions();
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      fleet.close();
    }
  }

  @Test
  void areLaterThanTheFirst() {
    assertThat(accepted, greaterThan(1L));
  }

  @Test
  void stayInForceWhenInvalidOnesArePublished() {
    assertThat(afterInvalid, everyItem(is(accepted)));
  }

  @Test
  @DisplayName("stay in force, and the fault of the invalid ones is told")
  void areExplained() {
    assertThat(findings, containsString("regionz"));
  }

  @Test
  @DisplayName("are later than what the config service answers with after the restoration")
  void areLaterThanTheBackup() {
    assertThat(restored, lessThan(accepted));
  }

  @Test
  void reachAnInstanceThatStartsAfterTheConfigServiceWentBack() {
    assertThat(ofReplaced, is(accepted));
  }

  @Test
  void neverRevertWhenTheConfigServiceWentBack() {
    assertThat(afterRestore, everyItem(is(accepted)));
  }

  private static long restoreOlderThan(long revision) throws IOException {
    for (int i = 0; i < MAX_CHANGES && fleet.publishedRevision() >= revision; i++) {
      fleet.order("config", "/admin/mode", Map.of("mode", "restore", "steps", 1));
    }
    return fleet.publishedRevision();
  }

  private static String rejection() throws IOException {
    return fleet.operator(FROZEN, "/status").toString();
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
      return fleet.operator(entry, "/status").path("settingsRevision").asLong();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean allAre(List<Long> revisions, long revision) {
    return revisions.stream().allMatch(r -> r == revision);
  }
}
