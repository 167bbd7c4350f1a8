package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.gentianslip.core.id.DataCentreId;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.published.Backend;
import org.gentianslip.core.route.Repeatability;
import org.gentianslip.core.route.Route;
import org.gentianslip.core.route.WeightedService;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a service that is refused for ever after it was slow once. In virtual time. */
@DisplayName("After a slow spell of a plain service")
class SlowSpellTest {

  private static final double WORK_MILLIS = 43;
  private static final double SLOW_FACTOR = 8;
  private static final int SLOTS = 6;
  private static final int BACKENDS = 3;
  private static final int REQUESTS_PER_SECOND = 60;
  private static final long SPELL_START_MILLIS = 5_000;
  private static final long SPELL_MILLIS = 6_500;
  private static final long MILLI = 1_000_000;

  /** The time after the spell within which the service is used again. */
  private static final long RECOVERY_MILLIS = 12_000;

  private static final Route ROUTE =
      new Route(
          "r",
          "host",
          "/",
          Repeatability.ONCE,
          false,
          6_000,
          400,
          1,
          2,
          List.of(new WeightedService(ServiceId.of("desk"), 1)),
          Set.of());

  /** The end of a request: when it is answered, and its reservation. */
  private record End(double millis, Reservation reservation) {}

  /** A backend server that works on several requests at once, first come, first served. */
  private static final class Server {

    private final double[] freeAtMillis = new double[SLOTS];
    private final Deque<Double> starts = new ArrayDeque<>();

    double answerMillis(double nowMillis) {
      int first = 0;
      for (int i = 1; i < SLOTS; i++) {
        first = freeAtMillis[i] < freeAtMillis[first] ? i : first;
      }
      double start = Math.max(nowMillis, freeAtMillis[first]);
      freeAtMillis[first] = start + (isSlow(start) ? SLOW_FACTOR : 1) * WORK_MILLIS;
      starts.add(nowMillis);
      return freeAtMillis[first];
    }

    private static boolean isSlow(double millis) {
      return millis >= SPELL_START_MILLIS && millis < SPELL_START_MILLIS + SPELL_MILLIS;
    }

    long received(double fromMillis, double toMillis) {
      return starts.stream().filter(m -> m >= fromMillis && m < toMillis).count();
    }
  }

  private final SplittableRandom random = new SplittableRandom(11);
  private final List<Server> servers = new ArrayList<>();
  private final List<List<BackendOption>> options = new ArrayList<>();
  private final PriorityQueue<End> ends =
      new PriorityQueue<>(Comparator.comparingDouble(End::millis));
  private final List<Double> served = new ArrayList<>();

  private void createInstances(int count) {
    for (int i = 0; i < BACKENDS; i++) {
      servers.add(new Server());
    }
    for (int n = 0; n < count; n++) {
      List<BackendOption> own = new ArrayList<>();
      for (int i = 0; i < BACKENDS; i++) {
        var backend =
            new Backend(
                EngineId.of("b" + i),
                ServiceId.of("desk"),
                "10.0.0.1:80",
                DataCentreId.of("z"),
                SLOTS,
                false,
                0,
                0);
        var load = new BackendLoad(SLOTS, null);
        load.setInstances(count);
        own.add(new BackendOption(backend, load, Optional.empty()));
      }
      options.add(own);
    }
  }

  private void play(double untilMillis) {
    double nowMillis = 0;
    while (nowMillis < untilMillis) {
      nowMillis += -Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_SECOND;
      while (!ends.isEmpty() && ends.peek().millis() <= nowMillis) {
        End end = ends.poll();
        end.reservation().succeeded((long) (end.millis() * MILLI));
      }
      sendOne(nowMillis);
    }
  }

  private void sendOne(double nowMillis) {
    long now = (long) (nowMillis * MILLI);
    List<BackendOption> own = options.get(random.nextInt(options.size()));
    var candidates = new Candidates(own, Optional.empty(), Optional.empty(), 0);
    BackendDecision decision =
        BackendSelector.select(now, ROUTE, RequestSize.UNKNOWN, 6_000, candidates, List.of());
    if (decision instanceof BackendDecision.ToBackend to) {
      Reservation reservation =
          to.option().load().reserve(now, false, RequestSize.UNKNOWN, to.estimate());
      int index = own.indexOf(to.option());
      ends.add(new End(servers.get(index).answerMillis(nowMillis), reservation));
      served.add(nowMillis);
    }
  }

  private double servedShare(double fromMillis, double toMillis) {
    long count = served.stream().filter(m -> m >= fromMillis && m < toMillis).count();
    return count * 1_000.0 / REQUESTS_PER_SECOND / (toMillis - fromMillis);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 95, 300})
  void theServiceIsUsedAgain(int instances) {
    createInstances(instances);
    double recovered = SPELL_START_MILLIS + SPELL_MILLIS + RECOVERY_MILLIS;
    play(recovered + 20_000);
    assertThat(servedShare(recovered, recovered + 20_000), is(greaterThan(0.9)));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 95, 300})
  void itsServersAreNotFloodedWhileItLasts(int instances) {
    createInstances(instances);
    play(SPELL_START_MILLIS + SPELL_MILLIS);
    double capacity = SLOTS * 1_000 / (SLOW_FACTOR * WORK_MILLIS);
    for (Server server : servers) {
      for (double from = 8_000; from < SPELL_START_MILLIS + SPELL_MILLIS - 1_000; from += 500) {
        assertThat((double) server.received(from, from + 1_000), is(lessThan(2 * capacity)));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7})
  void requestsBeforeItAreServed(int instances) {
    createInstances(instances);
    play(SPELL_START_MILLIS);
    assertThat(servedShare(0, SPELL_START_MILLIS), is(greaterThan(0.9)));
    assertThat(servedShare(0, SPELL_START_MILLIS), is(lessThanOrEqualTo(1.2)));
  }
}
