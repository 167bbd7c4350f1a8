package org.gentianslip.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.InstanceId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.published.Confirmation;
import org.gentianslip.core.published.PublishedState;
import org.gentianslip.core.published.Revision;
import org.gentianslip.core.route.CallerLimits;
import org.gentianslip.core.route.RouteTable;
import org.gentianslip.core.time.ClockReading;
import org.gentianslip.entry.clock.Clocks;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against 404 for a path whose route this instance does not have yet. */
@DisplayName("A path without a route")
class UnknownPathTest {

  private static final DataCentreId CENTRE = DataCentreId.of("north-a");
  private static final RegionId NORTH = RegionId.of("north");

  private final GatewayState state =
      new GatewayState(
          new GatewayConfig(
              InstanceId.of("i1"),
              NORTH,
              CENTRE,
              Map.of(CENTRE, NORTH),
              "127.0.0.1",
              1,
              2,
              3,
              List.of(),
              100,
              new GatewayBounds(0.2, 56, 10_000, 1.5, 3, 8_000)),
          1);
  private final RequestAdmission admission =
      new RequestAdmission(state, new PlainHeaders(() -> {}, () -> {}));

  private AdmissionResult admit() {
    var headers = new DefaultHttpHeaders();
    headers.set("Host", "shop.example");
    headers.set("Request-Id", "a1");
    return admission.admit(
        new BufferedHttpRequest(HttpMethod.GET, "/new/1", headers, new byte[0], System.nanoTime()),
        false);
  }

  private void confirmBefore(long millis) {
    ClockReading now = Clocks.read();
    state.knowledge().confirm(new Confirmation(4, now.minusMillis(millis), false), now);
  }

  @BeforeEach
  void publish() {
    var routes = RouteTable.of(4, List.of(), List.of(), CallerLimits.DEFAULT);
    var published = new PublishedState(Revision.of(1, 1), Optional.of(routes), Map.of(), Set.of());
    state.applyPublished(System.nanoTime(), published);
  }

  @Test
  @DisplayName("is rejected while the configuration is confirmed in regular intervals")
  void isRejected() {
    confirmBefore(4_300);
    assertThat(admit(), is(instanceOf(AdmissionResult.Rejected.class)));
  }

  @Test
  @DisplayName("is refused once a confirmation is missing")
  void isRefusedWithoutConfirmation() {
    confirmBefore(5_500);
    assertThat(admit(), is(instanceOf(AdmissionResult.Refused.class)));
  }

  @Test
  @DisplayName("is refused while another instance has a later version")
  void isRefusedWhileBehind() {
    confirmBefore(0);
    state.knowledge().recordStated(5, System.nanoTime());
    assertThat(admit(), is(instanceOf(AdmissionResult.Refused.class)));
  }
}
