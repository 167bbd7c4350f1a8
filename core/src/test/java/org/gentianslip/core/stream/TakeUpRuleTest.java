package org.gentianslip.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.published.Backend;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The rule for taking up streams")
class TakeUpRuleTest {

  private static final ServiceId SERVICE = ServiceId.of("farm");
  private static final SoftwareVersion V1 = SoftwareVersion.of("v1");
  private static final SoftwareVersion V2 = SoftwareVersion.of("v2");
  private static final long STREAM_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long WINDOW_NANOS = STREAM_NANOS + TakeUpRule.MARGIN_NANOS;
  private static final long RECEIVED = WINDOW_NANOS - 10;
  private static final TakeUp UNKNOWN = new TakeUp.Unknown();
  private static final TakeUp RECORDED = new TakeUp.AtVersion(V1, TakeUp.Reason.RECORDED);
  private static final TakeUp ONLY = new TakeUp.AtVersion(V1, TakeUp.Reason.ONLY_VERSION);

  private final StreamOrigins origins = new StreamOrigins();
  private final VersionHistory history = new VersionHistory();
  private final TakeUpRule rule = new TakeUpRule(origins, history);

  private static TakeUpClaim claim(String... resumed) {
    return new TakeUpClaim(
        true, false, Optional.empty(), List.of(resumed), SERVICE, STREAM_NANOS, RECEIVED);
  }

  private static TakeUpClaim stated(Optional<SoftwareVersion> version) {
    return new TakeUpClaim(true, true, version, List.of("a"), SERVICE, STREAM_NANOS, RECEIVED);
  }

  private void record(String request, SoftwareVersion version) {
    origins.record(new StreamOrigin(request, version, 0));
  }

  private void publish(long nowNanos, SoftwareVersion... versions) {
    history.apply(
        nowNanos,
        Arrays.stream(versions)
            .map(
                v ->
                    new Backend(
                        EngineId.of("of-" + v),
                        SERVICE,
                        "127.0.0.1:1",
                        DataCentreId.of("north-a"),
                        1,
                        false,
                        0,
                        0,
                        Optional.of(v)))
            .toList());
  }

  @Test
  void letsRequestsWithoutAnEarlierStreamRunAnywhere() {
    var fresh =
        new TakeUpClaim(false, false, Optional.empty(), List.of(), SERVICE, STREAM_NANOS, RECEIVED);
    assertThat(rule.decide(0, fresh, 0), is(new TakeUp.Fresh()));
  }

  @Test
  void usesTheVersionThatForwardingInstancesState() {
    record("a", V1);
    TakeUp expected = new TakeUp.AtVersion(V2, TakeUp.Reason.STATED);
    assertThat(rule.decide(0, stated(Optional.of(V2)), 0), is(expected));
  }

  @Test
  void refusesAnUnreadableStatedVersion() {
    record("a", V1);
    assertThat(rule.decide(0, stated(Optional.empty()), 0), is(UNKNOWN));
  }

  @Nested
  @DisplayName("with two versions")
  class WithTwoVersions {

    private TakeUp decide(String... resumed) {
      publish(0, V1, V2);
      publish(WINDOW_NANOS, V1, V2);
      return rule.decide(WINDOW_NANOS, claim(resumed), RECEIVED);
    }

    @Test
    void goesOnAtTheRecordedOneEachTime() {
      record("a", V1);
      assertThat(decide("a"), is(RECORDED));
      assertThat(decide("a"), is(RECORDED));
    }

    @Test
    void goesOnWithTakeUpsByEitherId() {
      record("a", V1);
      record("b", V1);
      assertThat(decide("a"), is(RECORDED));
      assertThat(decide("b"), is(RECORDED));
    }

    @Test
    void refusesAnIdRecordedWithBoth() {
      record("a", V1);
      record("a", V2);
      assertThat(decide("a"), is(UNKNOWN));
    }

    @Test
    void refusesUnknownIds() {
      record("a", V1);
      assertThat(decide("b"), is(UNKNOWN));
      assertThat(decide(""), is(UNKNOWN));
      assertThat(decide(), is(UNKNOWN));
    }

    @Test
    void refusesSeveralIds() {
      record("a", V1);
      assertThat(decide("a", "a"), is(UNKNOWN));
      assertThat(decide("a", "b"), is(UNKNOWN));
    }
  }

  @Nested
  @DisplayName("with an unknown stream of a service with one version")
  class WithOneVersion {

    @Test
    void goesOnIfThereWasNoOtherForLongEnough() {
      publish(0, V1);
      assertThat(rule.decide(WINDOW_NANOS, claim("a"), RECEIVED), is(ONLY));
      assertThat(rule.decide(WINDOW_NANOS, claim("a", "b"), RECEIVED), is(ONLY));
    }

    @Test
    void refusesIfThatIsNotKnownForLongEnough() {
      publish(0, V1);
      assertThat(rule.decide(WINDOW_NANOS - 1, claim("a"), RECEIVED), is(UNKNOWN));
    }

    @Test
    void refusesIfAnotherWasPublishedRecently() {
      publish(0, V2);
      publish(1, V1);
      assertThat(rule.decide(WINDOW_NANOS + 1, claim("a"), RECEIVED), is(UNKNOWN));
      assertThat(rule.decide(WINDOW_NANOS + 2, claim("a"), RECEIVED), is(ONLY));
    }

    @Test
    void awaitsTheChangesBeforeItsReceipt() {
      publish(0, V1);
      TakeUp unconfirmed = new TakeUp.Unconfirmed();
      assertThat(rule.decide(WINDOW_NANOS, claim("a"), RECEIVED - 1), is(unconfirmed));
    }

    @Test
    void refusesAfterTheyHaveBroughtAnotherVersion() {
      publish(0, V1);
      publish(WINDOW_NANOS, V1, V2);
      assertThat(rule.decide(WINDOW_NANOS, claim("a"), RECEIVED), is(UNKNOWN));
    }

    @Test
    void awaitsNothingIfItsOriginIsRecorded() {
      publish(0, V1);
      record("a", V1);
      assertThat(rule.decide(WINDOW_NANOS, claim("a"), RECEIVED - 1), is(RECORDED));
    }
  }
}
