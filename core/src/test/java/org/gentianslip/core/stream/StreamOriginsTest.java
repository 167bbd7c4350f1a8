package org.gentianslip.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The origins of streams")
class StreamOriginsTest {

  private static final InstanceId NEAR = InstanceId.of("near");
  private static final InstanceId FAR = InstanceId.of("far");
  private static final SoftwareVersion OLD = SoftwareVersion.of("4.1");
  private static final SoftwareVersion NEW = SoftwareVersion.of("4.2");

  private final StreamOrigins origins = new StreamOrigins();

  private static StreamOrigin origin(String id, SoftwareVersion version) {
    return new StreamOrigin(id, version, 0);
  }

  private List<StreamOrigin> sentTo(InstanceId receiver, long after) {
    return origins.recordedAfter(after, receiver, 100).origins();
  }

  @Test
  void nameTheVersionOfStream() {
    assertThat(origins.record(origin("r-1", OLD)), is(true));
    assertThat(origins.record(NEAR, origin("r-1", OLD)), is(false));
    assertThat(origins.versionOf("r-1"), is(Optional.of(OLD)));
  }

  @Test
  void nameNoVersionOfStreamWithTwo() {
    origins.record(origin("r-1", OLD));
    assertThat(origins.record(NEAR, origin("r-1", NEW)), is(true));
    assertThat(origins.record(FAR, origin("r-1", OLD)), is(false));
    assertThat(origins.versionOf("r-1"), is(Optional.empty()));
  }

  @Test
  void areSentToAllButWhoReportedThem() {
    origins.record(origin("own", OLD));
    long after = origins.recordedAfter(0, NEAR, 100).number();
    origins.record(NEAR, origin("r-1", OLD));
    assertThat(sentTo(FAR, after), is(List.of(origin("r-1", OLD))));
    assertThat(sentTo(NEAR, after), is(empty()));
  }

  @Test
  void areSentBackToInstanceThatHasReceivedNothing() {
    origins.record(NEAR, origin("r-1", OLD));
    assertThat(sentTo(NEAR, 0), is(List.of(origin("r-1", OLD))));
  }

  @Test
  void areSentWithBothVersionsToEveryone() {
    origins.record(origin("r-1", OLD));
    origins.record(NEAR, origin("r-1", NEW));
    List<StreamOrigin> both = List.of(origin("r-1", OLD), origin("r-1", NEW));
    assertThat(sentTo(FAR, 1), is(both));
    assertThat(sentTo(NEAR, 1), is(both));
  }

  @Test
  void areSentInPartsWithoutLoss() {
    for (int i = 0; i < 5; i++) {
      origins.record(origin("r-" + i, OLD));
    }
    OriginBatch first = origins.recordedAfter(0, FAR, 3);
    OriginBatch second = origins.recordedAfter(first.number(), FAR, 3);
    assertThat(first.origins().size() + second.origins().size(), is(5));
    assertThat(sentTo(FAR, second.number()), is(empty()));
  }

  @Test
  void areForgottenAfterTheirTimeAndBeyondTheMaximum() {
    origins.record(new StreamOrigin("early", OLD, -1));
    origins.record(origin("r-0", OLD));
    origins.dropBefore(0);
    assertThat(origins.versionOf("early"), is(Optional.empty()));
    for (int i = 1; i <= StreamOrigins.MAX_STREAMS; i++) {
      origins.record(origin("r-" + i, OLD));
    }
    assertThat(origins.versionOf("r-0"), is(Optional.empty()));
    assertThat(origins.versionOf("r-1"), is(Optional.of(OLD)));
  }
}
