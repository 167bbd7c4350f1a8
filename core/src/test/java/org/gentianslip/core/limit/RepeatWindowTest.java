package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A repeat window")
class RepeatWindowTest {

  private static final long WINDOW_NANOS = 1_000;

  @Test
  void allowsTheExtraRepeatsWithoutRequests() {
    var window = new RepeatWindow(WINDOW_NANOS, 0.2);
    assertThat(window.tryTake(0, 2), is(true));
    assertThat(window.tryTake(0, 2), is(true));
    assertThat(window.tryTake(0, 2), is(false));
  }

  @Test
  void allowsTheShareOfTheRequests() {
    var window = new RepeatWindow(WINDOW_NANOS, 0.2);
    for (int i = 0; i < 10; i++) {
      window.recordRequest(0);
    }
    assertThat(window.tryTake(0, 0), is(true));
    assertThat(window.tryTake(0, 0), is(true));
    assertThat(window.tryTake(0, 0), is(false));
  }

  @Test
  void ignoresRequestsOutsideTheWindow() {
    var window = new RepeatWindow(WINDOW_NANOS, 0.2);
    for (int i = 0; i < 10; i++) {
      window.recordRequest(0);
    }
    assertThat(window.tryTake(WINDOW_NANOS, 0), is(false));
  }

  @Test
  void keepsTheBoundInEveryWindow() {
    var random = new Random(7);
    var window = new RepeatWindow(WINDOW_NANOS, 0.2);
    List<Long> requests = new ArrayList<>();
    List<Long> repeats = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < 5_000; i++) {
      now += random.nextInt(20);
      if (random.nextInt(3) > 0) {
        window.recordRequest(now);
        requests.add(now);
      } else if (window.tryTake(now, 3)) {
        repeats.add(now);
        long start = now - WINDOW_NANOS;
        long requestCount = requests.stream().filter(t -> t > start).count();
        long repeatCount = repeats.stream().filter(t -> t > start).count();
        assertThat((double) repeatCount, lessThanOrEqualTo(0.2 * requestCount + 3));
      }
    }
  }
}
