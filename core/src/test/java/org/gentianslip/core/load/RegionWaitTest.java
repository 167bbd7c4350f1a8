package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.gentianslip.core.fleet.HeardWait;
import org.gentianslip.core.fleet.ServiceWait;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.WeightedService;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against refusals of a region that is idle but failed requests. In virtual time. */
@DisplayName("Another region whose server fails some requests")
class RegionWaitTest {

  private static final int SLOTS = 40;
  private static final double ROUND_TRIP_MILLIS = 112;
  private static final double PUBLISH_MILLIS = 1_000;
  private static final double REQUESTS_PER_SECOND = 400;
  private static final int FAILED_PERCENT = 35;
  private static final double START_MILLIS = 5_000;
  private static final double END_MILLIS = 25_000;
  private static final long MILLI = 1_000_000;
  private static final RegionId SOUTH = RegionId.of("south");

  private static final Route ROUTE =
      new Route(
          "r",
          "host",
          "/",
          Repeatability.ONCE,
          false,
          3_000,
          400,
          2,
          3,
          List.of(new WeightedService(ServiceId.of("desk"), 1)),
          Set.of());

  private static RegionOption option(RegionId region, ServiceWait stated) {
    return new RegionOption(region, stated, ROUND_TRIP_MILLIS, false);
  }

  private static BackendDecision select(long nowNanos, RegionOption... regions) {
    return BackendSelector.select(
        nowNanos, ROUTE, RequestSize.UNKNOWN, 3_000, Candidates.NONE, List.of(regions));
  }

  /** The end of a request: when it is answered, whether it fails, and its reservation. */
  private record End(double millis, boolean fails, Reservation reservation) {}

  /** Instances of the other region that share a server, the first of which publishes. */
  private static final class Region {

    private final SplittableRandom random;
    private final List<BackendLoad> loads = new ArrayList<>();
    private final BackendGroup publishing;
    private final PriorityQueue<End> ends =
        new PriorityQueue<>(Comparator.comparingDouble(End::millis));
    private ServiceWait stated = ServiceWait.UNKNOWN;
    private double publishedMillis;

    Region(int instances, long seed) {
      random = new SplittableRandom(seed);
      for (int i = 0; i < instances; i++) {
        var load = new BackendLoad(SLOTS, null);
        load.setInstances(instances);
        loads.add(load);
      }
      var backend =
          new Backend(
              EngineId.of("b"),
              ServiceId.of("desk"),
              "10.0.0.1:80",
              DataCentreId.of("z"),
              SLOTS,
              false,
              0,
              0);
      publishing = BackendGroup.of(List.of(new BackendGroup.Member(backend, loads.get(0))));
    }

    void advance(double nowMillis) {
      while (!ends.isEmpty() && ends.peek().millis() <= nowMillis) {
        End end = ends.poll();
        long now = (long) (end.millis() * MILLI);
        if (end.fails()) {
          end.reservation().answeredWithError(now);
        } else {
          end.reservation().succeeded(now);
        }
      }
      if (nowMillis - publishedMillis >= PUBLISH_MILLIS) {
        publishedMillis = nowMillis;
        stated =
            publishing
                .expectedWait((long) (nowMillis * MILLI), SendRates.UNRESTRICTED, random)
                .orElseThrow();
      }
    }

    void run(double nowMillis) {
      BackendLoad load = loads.get(random.nextInt(loads.size()));
      long now = (long) (nowMillis * MILLI);
      BackendEstimate estimate = load.estimate(now, false, RequestSize.UNKNOWN, Optional.empty());
      ends.add(
          new End(
              nowMillis + 3 + random.nextInt(30),
              random.nextInt(100) < FAILED_PERCENT,
              load.reserve(now, false, RequestSize.UNKNOWN, estimate)));
    }
  }

  /** Returns the share of requests that are sent to the region after its start. */
  private static double sentShare(int instances, long seed) {
    var region = new Region(instances, seed);
    var random = new SplittableRandom(seed);
    int requests = 0;
    int sent = 0;
    double nowMillis = 0;
    while (nowMillis < END_MILLIS) {
      nowMillis += -Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_SECOND;
      region.advance(nowMillis);
      boolean counts = nowMillis >= START_MILLIS;
      requests += counts ? 1 : 0;
      if (select((long) (nowMillis * MILLI), option(SOUTH, region.stated))
          instanceof BackendDecision.ToRegion) {
        region.run(nowMillis);
        sent += counts ? 1 : 0;
      }
    }
    return (double) sent / requests;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 95, 300})
  void isUsedForNinetyNineRequestsInHundred(int instances) {
    for (long seed = 1; seed <= 10; seed++) {
      assertThat("seed " + seed, sentShare(instances, seed), is(greaterThan(0.99)));
    }
  }

  @Nested
  @DisplayName("if all of them fail")
  class FailsAll {

    private final RegionOption failing = option(SOUTH, new ServiceWait(0, 1_350));

    @Test
    void isUsedIfThereIsNoOther() {
      assertThat(select(0, failing), is(new BackendDecision.ToRegion(SOUTH, ROUND_TRIP_MILLIS)));
    }

    @Test
    void isUsedIfTheOtherIsTooLate() {
      RegionOption late = option(RegionId.of("west"), new ServiceWait(800, 0));
      assertThat(
          select(0, late, failing), is(new BackendDecision.ToRegion(SOUTH, ROUND_TRIP_MILLIS)));
    }

    @Test
    void isNotUsedIfTheOtherIsInTime() {
      RegionOption sound = option(RegionId.of("west"), new ServiceWait(200, 0));
      assertThat(
          select(0, failing, sound),
          is(not(new BackendDecision.ToRegion(SOUTH, ROUND_TRIP_MILLIS))));
    }
  }

  @Nested
  @DisplayName("if no request may be sent there for a time")
  class Delayed {

    private final RegionOption delayed =
        new RegionOption(SOUTH, ServiceWait.UNKNOWN, ROUND_TRIP_MILLIS, false, 700, 0);

    @Test
    void makesRefusalsTellThatTime() {
      assertThat(select(0, delayed), is(new BackendDecision.Refuse(BackendSelector.PAUSED, 700)));
    }

    @Test
    void leavesOtherRegionsInUse() {
      RegionId west = RegionId.of("west");
      BackendDecision decision = select(0, delayed, option(west, ServiceWait.UNKNOWN));
      assertThat(decision, is(new BackendDecision.ToRegion(west, ROUND_TRIP_MILLIS)));
    }

    @Test
    void makesRefusalsTellThatTimeIfOthersTakeLonger() {
      RegionOption late = option(RegionId.of("west"), new ServiceWait(2_000, 0));
      assertThat(
          select(0, delayed, late), is(new BackendDecision.Refuse(BackendSelector.PAUSED, 700)));
    }
  }

  @Nested
  @DisplayName("if its wait is too long")
  class TooLate {

    @Test
    void makesRefusalsTellWhenItIsStatedAnew() {
      var late = new RegionOption(SOUTH, new ServiceWait(260, 0), ROUND_TRIP_MILLIS, false, 0, 640);
      assertThat(select(0, late), is(new BackendDecision.Refuse("too-late", 640)));
    }

    @Test
    void makesRefusalsTellTheExcessIfThatIsLonger() {
      var late =
          new RegionOption(SOUTH, new ServiceWait(1_260, 0), ROUND_TRIP_MILLIS, false, 0, 640);
      assertThat(select(0, late), is(new BackendDecision.Refuse("too-late", 1_012)));
    }

    @Test
    void isStatedAnewOneSecondAfterItWasHeard() {
      var heard = new HeardWait(new ServiceWait(260, 0), 300 * MILLI);
      assertThat(heard.renewalNanos(500 * MILLI), is(800 * MILLI));
      assertThat(heard.renewalNanos(1_400 * MILLI), is(0L));
    }
  }

  @Nested
  @DisplayName("if its only server gets no work for a moment")
  class ServerBlocked {

    private final Region region = new Region(1, 1);

    private Optional<ServiceWait> stated(long nowNanos) {
      return region.publishing.expectedWait(nowNanos, SendRates.UNRESTRICTED, region.random);
    }

    @Test
    void statesTheRestOfThatTime() {
      BackendLoad load = region.loads.get(0);
      load.reserve(
              0,
              false,
              RequestSize.UNKNOWN,
              load.estimate(0, false, RequestSize.UNKNOWN, Optional.empty()))
          .refusedAsFull(10 * MILLI);
      assertThat(stated(20 * MILLI), is(Optional.of(new ServiceWait(40, 0))));
      assertThat(stated(60 * MILLI).map(ServiceWait::waitMillis), is(Optional.of(0.0)));
    }

    @Test
    void statesThePauseThatItAskedFor() {
      region.loads.get(0).pauseUntil(700 * MILLI);
      assertThat(stated(0), is(Optional.of(new ServiceWait(700, 0))));
    }
  }
}
