package org.gentianslip.burn.objective;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.gentianslip.burn.source.ConfigServiceClient;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.Revision;
import org.gentianslip.settings.Settings;
import org.gentianslip.settings.SettingsDocument;
import org.junit.jupiter.api.Test;

/** Tests {@link ObjectiveReader}. */
class ObjectiveReaderTest {

  private static final String TREE =
      """
      {"regions": [{"id": "graz", "dataCentres": ["graz-1"]},
                   {"id": "wien", "dataCentres": ["wien-1"]}],
       "links": [{"between": ["graz", "wien"], "oneWayMillis": 55, "megabitsPerSecond": 100}],
       "customers": [{"id": "shoppers", "firm": "venture", "keySha256": "%s"}],
       "branches": [
         {"id": "v", "level": "firm", "name": "venture", "values": {}},
         {"id": "v.a", "parent": "v", "level": "kind", "name": "care", "values":
           {"rank": "urgent", "objectiveFirstTokenShare": 0.9, "firstTokenTargetMillis": 500}},
         {"id": "v.b", "parent": "v", "level": "kind", "name": "order", "values":
           {"rank": "urgent", "objectiveFirstTokenShare": 0.97}},
         {"id": "v.w", "parent": "v", "level": "region", "name": "wien", "values":
           {"objectiveAvailabilityShare": 0.5}}]}
      """
          .formatted("0".repeat(64));

  @Test
  void appliesTheStrictestShareOfTheRank() throws IOException {
    assertThat(find(ObjectiveType.FIRST_TOKEN, "graz").share(), closeTo(0.97, 1e-9));
  }

  @Test
  void appliesTheStrictestTargetOfTheRank() throws IOException {
    assertThat(find(ObjectiveType.FIRST_TOKEN, "graz").target(), equalTo(Duration.ofMillis(500)));
  }

  @Test
  void appliesTheBranchOfTheRegion() throws IOException {
    assertThat(find(ObjectiveType.AVAILABILITY, "wien").share(), is(0.5));
  }

  private static Objective find(ObjectiveType type, String region) throws IOException {
    SettingsDocument document = new SettingsDocument("tree", TREE.getBytes(StandardCharsets.UTF_8));
    Settings settings = ConfigServiceClient.parse(Revision.of(1), List.of(document));
    return ObjectiveReader.read(settings).stream()
        .filter(o -> o.type() == type)
        .filter(o -> o.rank().filter(r -> r == Rank.URGENT).isPresent())
        .filter(o -> o.region().filter(r -> r.equals(RegionId.of(region))).isPresent())
        .findFirst()
        .orElseThrow();
  }
}
