package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against a flood of a backend server that starts again before its entry shows it. */
@DisplayName("Several instances before a server that starts again under its id")
class FloodedColdServerTest {

  private static final int INSTANCES = 3;
  private static final int ALLOWED_PER_SECOND = 17;
  private static final int INTERVAL_MILLIS = 20;
  private static final int DARK_MILLIS = 5_000;
  private static final int RETURN_MILLIS = 5_900;
  private static final int ENTRY_MILLIS = 6_900;

  private final List<BackendLoad> loads = new ArrayList<>();
  private final List<List<Reservation>> silent = new ArrayList<>();
  private final List<Integer> arrivals = new ArrayList<>();

  @Test
  @DisplayName("keep to its rate together until its entry arrives")
  void keepToItsRateTogether() {
    for (int i = 0; i < INSTANCES; i++) {
      loads.add(new BackendLoad(64, null));
      silent.add(new ArrayList<>());
    }
    for (int millis = 0; millis < ENTRY_MILLIS; millis += INTERVAL_MILLIS) {
      for (int i = 0; i < INSTANCES; i++) {
        sendIfAccepted(i, millis);
      }
    }
    assertThat(mostInOneSecond(), lessThanOrEqualTo(ALLOWED_PER_SECOND));
    assertThat(arrivals.size(), greaterThan(0));
  }

  /** Sends a request, which is lost while the server is dark, on a connection that breaks later. */
  private void sendIfAccepted(int instance, int millis) {
    BackendLoad load = loads.get(instance);
    long now = nanos(millis);
    if (millis == RETURN_MILLIS) {
      silent.get(instance).forEach(r -> r.failed(now));
      silent.get(instance).forEach(r -> load.suspectRestart(now, nanos(DARK_MILLIS)));
    }
    if (!load.acceptsWork(now, () -> ALLOWED_PER_SECOND / INSTANCES)) {
      return;
    }
    Reservation sent =
        load.reserve(
            now,
            false,
            RequestSize.UNKNOWN,
            load.estimate(now, false, RequestSize.UNKNOWN, Optional.empty()));
    if (millis < DARK_MILLIS) {
      sent.succeeded(now);
    } else if (millis < RETURN_MILLIS) {
      silent.get(instance).add(sent);
    } else {
      arrivals.add(millis);
      sent.succeeded(now);
      if (load.pollRecovered()) {
        load.markColdUntil(now + nanos(3_000));
      }
    }
  }

  private int mostInOneSecond() {
    int most = 0;
    for (int first : arrivals) {
      most =
          Math.max(
              most, (int) arrivals.stream().filter(a -> a >= first && a < first + 1_000).count());
    }
    return most;
  }

  private static long nanos(int millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
