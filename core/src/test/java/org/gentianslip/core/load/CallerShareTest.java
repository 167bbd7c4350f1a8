package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.gentianslip.core.id.InstanceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The share of callers of an instance")
class CallerShareTest {

  private static final long NOW = TimeUnit.SECONDS.toNanos(100);
  private static final InstanceId SECOND = InstanceId.of("second");
  private static final InstanceId THIRD = InstanceId.of("third");

  private final CallerShare share = new CallerShare();

  private void serve(int requests) {
    for (int i = 0; i < requests; i++) {
      share.request(NOW);
    }
  }

  @Nested
  @DisplayName("after a restart in which it was the first")
  class First {

    @Test
    void movesCallersToOthers() {
      serve(280);
      share.heard(NOW, SECOND, 30);
      share.heard(NOW, THIRD, 30);
      assertThat(share.shouldMove(NOW, 0), is(true));
    }

    @Test
    void movesNoMoreThanHalfOfTheExcessAtOnce() {
      serve(280);
      share.heard(NOW, SECOND, 30);
      share.heard(NOW, THIRD, 30);
      var random = new SplittableRandom(3);
      int moved = 0;
      for (int i = 0; i < 10_000; i++) {
        moved += share.shouldMove(NOW, random.nextDouble()) ? 1 : 0;
      }
      assertThat(moved / 10_000.0, is(closeTo(0.5 * (1 - 113.3 / 280), 0.02)));
    }

    @Test
    void evensOutWhatTheInstancesServe() {
      int[] connections = {90, 5, 5};
      var random = new SplittableRandom(5);
      for (int second = 0; second < 6; second++) {
        int[] now = connections.clone();
        for (int i = 0; i < 3; i++) {
          var own = new CallerShare();
          for (int k = 0; k < now[i] * 3; k++) {
            own.request(NOW);
          }
          for (int j = 0; j < 3; j++) {
            if (j != i) {
              own.heard(NOW, InstanceId.of("i" + j), now[j] * 3);
            }
          }
          for (int k = 0; k < now[i]; k++) {
            if (own.shouldMove(NOW, random.nextDouble())) {
              connections[i]--;
              connections[random.nextInt(3)]++;
            }
          }
        }
      }
      int most = Math.max(connections[0], Math.max(connections[1], connections[2]));
      assertThat(most <= 1.6 * 100 / 3, is(true));
    }
  }

  @Test
  void keepsItsCallersIfItIsAlone() {
    serve(500);
    assertThat(share.shouldMove(NOW, 0), is(false));
  }

  @Test
  void keepsItsCallersIfTheOthersServeAsMany() {
    serve(140);
    share.heard(NOW, SECOND, 100);
    assertThat(share.shouldMove(NOW, 0), is(false));
  }

  @Test
  void keepsItsCallersIfTheyAreFew() {
    serve(19);
    share.heard(NOW, SECOND, 0);
    assertThat(share.shouldMove(NOW, 0), is(false));
  }

  @Test
  void countsNoInstanceThatFellSilent() {
    serve(280);
    share.heard(NOW - TimeUnit.SECONDS.toNanos(2), SECOND, 30);
    assertThat(share.shouldMove(NOW, 0), is(false));
  }

  @Test
  void countsNoInstanceThatWasForgotten() {
    serve(280);
    share.heard(NOW, SECOND, 30);
    share.forget(SECOND);
    assertThat(share.shouldMove(NOW, 0), is(false));
  }

  @Test
  void forgetsOldRequests() {
    serve(280);
    assertThat(share.requests(NOW + TimeUnit.SECONDS.toNanos(3)), is(0));
  }
}
