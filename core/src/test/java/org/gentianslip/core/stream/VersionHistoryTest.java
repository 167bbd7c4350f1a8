package org.gentianslip.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.published.Backend;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The history of versions")
class VersionHistoryTest {

  private static final ServiceId FARM = ServiceId.of("farm");
  private static final SoftwareVersion OLD = SoftwareVersion.of("4.1");
  private static final SoftwareVersion NEW = SoftwareVersion.of("4.2");
  private static final long WINDOW = 35;
  private static final long START = -1_000;

  private final VersionHistory history = new VersionHistory();

  @BeforeEach
  void startWithOneVersion() {
    history.startAnew(START);
    history.apply(START, servers(OLD));
  }

  private static List<Backend> servers(SoftwareVersion... versions) {
    return Arrays.stream(versions).map(v -> server(Optional.of(v))).toList();
  }

  private static Backend server(Optional<SoftwareVersion> version) {
    return new Backend(
        EngineId.of("i-" + version.map(SoftwareVersion::value).orElse("none")),
        FARM,
        "10.0.0.1:80",
        DataCentreId.of("a"),
        1,
        false,
        0,
        0,
        version);
  }

  private Optional<SoftwareVersion> soleVersion(long now) {
    assertThat(
        history.hasSoleVersions(now, WINDOW),
        is(history.soleVersion(FARM, now, WINDOW).isPresent()));
    return history.soleVersion(FARM, now, WINDOW);
  }

  @Test
  void namesTheSoleVersionOnlyAfterTheWindow() {
    assertThat(soleVersion(START + WINDOW - 1), is(Optional.empty()));
    assertThat(soleVersion(START + WINDOW), is(Optional.of(OLD)));
  }

  @Test
  void namesNoneOfTwoVersions() {
    history.apply(0, servers(OLD, NEW));
    assertThat(soleVersion(0), is(Optional.empty()));
    assertThat(soleVersion(10 * WINDOW), is(Optional.empty()));
  }

  @Test
  void remembersVersionThatLeftWithinTheWindow() {
    history.apply(0, servers(OLD, NEW));
    history.apply(10, servers(NEW));
    assertThat(soleVersion(10 + WINDOW), is(Optional.empty()));
    assertThat(soleVersion(11 + WINDOW), is(Optional.of(NEW)));
  }

  @Test
  void remembersVersionThatWasSeenOnlyBetweenTwoStates() {
    history.recordSeen(10, servers(NEW));
    assertThat(soleVersion(10 + WINDOW), is(Optional.empty()));
    assertThat(soleVersion(11 + WINDOW), is(Optional.of(OLD)));
  }

  @Test
  void namesNoVersionBesideServerWithoutReadableOne() {
    history.apply(0, List.of(server(Optional.of(OLD)), server(Optional.empty())));
    assertThat(soleVersion(10 * WINDOW), is(Optional.empty()));
  }

  @Test
  void startsAnew() {
    history.startAnew(0);
    history.apply(0, servers(OLD));
    history.closeGap();
    assertThat(soleVersion(WINDOW - 1), is(Optional.empty()));
    assertThat(soleVersion(WINDOW), is(Optional.of(OLD)));
  }

  @Test
  void knowsNothingBeforeTheLastOfSeveralGaps() {
    history.markGap(0);
    history.markGap(10);
    assertThat(soleVersion(9 + WINDOW), is(Optional.empty()));
    assertThat(soleVersion(10 + WINDOW), is(Optional.of(OLD)));
  }

  @Test
  void knowsWhatPassedInClosedGaps() {
    history.markGap(0);
    history.markGap(10);
    history.closeGap();
    assertThat(soleVersion(11), is(Optional.of(OLD)));
  }

  @Test
  void isExtendedByWhatWasPublishedBefore() {
    history.extend(START, START - 20, Map.of(FARM, Map.of(Optional.of(OLD), START)));
    assertThat(soleVersion(START + WINDOW - 21), is(Optional.empty()));
    assertThat(soleVersion(START + WINDOW - 20), is(Optional.of(OLD)));
  }

  @Test
  void isExtendedByVersionsThatHadLeft() {
    history.extend(START, START - WINDOW, Map.of(FARM, Map.of(Optional.of(NEW), START)));
    assertThat(soleVersion(START + WINDOW), is(Optional.empty()));
    assertThat(soleVersion(START + WINDOW + 1), is(Optional.of(OLD)));
  }

  @Test
  void isNotExtendedAcrossLaterStart() {
    history.startAnew(0);
    history.extend(START, START - WINDOW, Map.of());
    assertThat(soleVersion(1), is(Optional.empty()));
  }

  @Test
  void isExtendedBehindOpenGapOnlyOnceThatIsClosed() {
    history.markGap(START + 1);
    history.extend(START, START - WINDOW, Map.of());
    assertThat(soleVersion(START + 2), is(Optional.empty()));
    history.closeGap();
    assertThat(soleVersion(START + 2), is(Optional.of(OLD)));
  }
}
