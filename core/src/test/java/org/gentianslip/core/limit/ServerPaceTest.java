package org.gentianslip.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.DoubleUnaryOperator;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.InstanceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against floods at a server that has just returned, and against leaving it idle. */
@DisplayName("The pace of a backend server that returns")
class ServerPaceTest {

  private static final long MILLI = 1_000_000;
  private static final int SLOTS = 24;
  private static final double WORK_MILLIS = 40;
  private static final EngineId SERVER = EngineId.of("server");

  private record End(double millis, int sender, double sentMillis, boolean answered) {}

  /** A server with unlimited offers of several senders, in virtual time. */
  private static final class Play {

    private final DoubleUnaryOperator workMillis;
    private final List<ServerPace> paces = new ArrayList<>();
    private final List<InstanceId> ids = new ArrayList<>();
    private final List<EngineShare> shares = new ArrayList<>();
    private final int[] running;
    private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparing(End::millis));
    private final double[] freeAtMillis = new double[SLOTS];
    private final List<Double> answers = new ArrayList<>();
    private int failing;
    private int mostRunning;
    private long sent;

    /**
     * Creates a server that returns at 0.
     *
     * @param workMillis the time that a request begun at a time takes, in milliseconds
     */
    Play(int senders, DoubleUnaryOperator workMillis) {
      this.workMillis = workMillis;
      running = new int[senders];
      for (int i = 0; i < senders; i++) {
        ids.add(InstanceId.of("i" + i));
        paces.add(new ServerPace());
        paces.get(i).begin(0);
      }
      ids.forEach(id -> shares.add(EngineSubsetting.shareOf(id, ids, SERVER, senders).get()));
    }

    void run(int fromMillis, int toMillis) {
      for (int now = fromMillis; now < toMillis; now++) {
        while (!ends.isEmpty() && ends.peek().millis() <= now) {
          end(ends.remove());
        }
        for (int i = 0; i < running.length; i++) {
          ServerPace pace = paces.get(i);
          int portion = shares.get(i).portionOfFree(pace.total(now * MILLI, SLOTS, running[i]));
          while (running[i] < portion) {
            send(now, i);
          }
        }
        mostRunning = Math.max(mostRunning, ends.size());
      }
    }

    private void send(double now, int sender) {
      int slot = 0;
      for (int i = 1; i < SLOTS; i++) {
        slot = freeAtMillis[i] < freeAtMillis[slot] ? i : slot;
      }
      boolean fails = failing > 0;
      failing -= fails ? 1 : 0;
      double start = Math.max(now, freeAtMillis[slot]);
      freeAtMillis[slot] = start + (fails ? 1 : workMillis.applyAsDouble(start));
      paces.get(sender).recordSend((long) (now * MILLI), running[sender], WORK_MILLIS);
      running[sender]++;
      sent++;
      ends.add(new End(freeAtMillis[slot], sender, now, !fails));
    }

    private void end(End end) {
      running[end.sender()]--;
      ServerPace pace = paces.get(end.sender());
      long now = (long) (end.millis() * MILLI);
      if (end.answered()) {
        answers.add(end.millis());
        pace.recordAnswer(now, SLOTS, WORK_MILLIS, end.millis() - end.sentMillis());
      } else {
        pace.recordSetback(now, SLOTS);
      }
    }

    long answeredBefore(double millis) {
      return answers.stream().filter(a -> a < millis).count();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 84, 300})
  void usesSoundServerSoonWithoutOverloadingIt(int senders) {
    var play = new Play(senders, start -> WORK_MILLIS);
    play.run(0, 5_000);
    // The fastest ramp that doubles with each answer uses all slots after five answers.
    double rampMillis = 1.25 * (ServerPace.DOUBLING_NANOS / MILLI) * 5;
    double possible = SLOTS / WORK_MILLIS * (5_000 - rampMillis);
    assertThat((double) play.answers.size(), is(greaterThanOrEqualTo(0.9 * possible)));
    assertThat(play.mostRunning, is(lessThanOrEqualTo(SLOTS)));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 84, 300})
  void sendsFewRequestsAtOnceWhenAllSendersLearnOfTheReturn(int senders) {
    var play = new Play(senders, start -> WORK_MILLIS);
    play.run(0, 1);
    assertThat(play.mostRunning, is(1));
    play.run(1, (int) (2 * ServerPace.DOUBLING_NANOS / MILLI));
    assertThat(play.mostRunning, is(lessThanOrEqualTo(4)));
  }

  @Test
  void keepsServerWithColdCacheFromQueueing() {
    // A request takes eight times as long at first, as no prompt is cached.
    var play = new Play(7, start -> WORK_MILLIS * Math.max(1, 8 - 7 * start / 2_000));
    play.run(0, 2_000);
    assertThat(play.mostRunning, is(lessThan(SLOTS)));
    play.run(2_000, 6_000);
    double possible = SLOTS / WORK_MILLIS * 1_000;
    long lastSecond = play.answers.size() - play.answeredBefore(5_000);
    assertThat((double) lastSecond, is(greaterThanOrEqualTo(0.9 * possible)));
  }

  @Test
  void neverFillsMoreThanItsSlotsIfItStaysSlow() {
    var play = new Play(28, start -> 50 * WORK_MILLIS);
    play.run(0, 9_000);
    assertThat(play.mostRunning, is(lessThanOrEqualTo(SLOTS)));
  }

  @Test
  void returnsToFullUseAfterFirstAnswersFailed() {
    var play = new Play(7, start -> WORK_MILLIS);
    play.failing = 10;
    play.run(0, 1_000);
    assertThat(play.sent, is(lessThan((long) (SLOTS / WORK_MILLIS * 1_000))));
    play.run(1_000, 9_000);
    long lastSecond = play.answers.size() - play.answeredBefore(8_000);
    assertThat((double) lastSecond, is(greaterThanOrEqualTo(0.9 * SLOTS / WORK_MILLIS * 1_000)));
  }

  @Nested
  @DisplayName("that keeps returning")
  class Flapping {

    private final ServerPace pace = new ServerPace();

    @Test
    void growsMoreSlowlyEachTime() {
      pace.begin(0);
      final int first = pace.total(800 * MILLI, SLOTS, 0);
      pace.begin(1_400 * MILLI);
      assertThat(pace.total(2_200 * MILLI, SLOTS, 0), is(lessThan(first)));
    }

    @Test
    void growsAsBeforeAfterCalmTime() {
      pace.begin(0);
      pace.begin(1_400 * MILLI);
      long calm = 1_400 * MILLI + ServerPace.CALM_NANOS;
      pace.begin(calm);
      assertThat(pace.total(calm + 800 * MILLI, SLOTS, 0), is(16));
    }

    @Test
    void takesSlightlyLaterTimeForTheSameReturn() {
      pace.begin(3_000 * MILLI);
      pace.begin(3_050 * MILLI);
      assertThat(pace.total(3_850 * MILLI, SLOTS, 0), is(16));
    }
  }

  @Nested
  @DisplayName("that gets no requests")
  class Idle {

    private final ServerPace pace = new ServerPace();

    @Test
    void endsBySelfAfterSetbacks() {
      pace.begin(0);
      for (int i = 1; i <= 10; i++) {
        pace.recordSetback(i * 100 * MILLI, SLOTS);
      }
      assertThat(pace.total(1_000 * MILLI, SLOTS, 0), is(1));
      assertThat(pace.isLimited(9_999 * MILLI, SLOTS), is(true));
      assertThat(pace.isLimited(ServerPace.MAX_LIMITED_NANOS, SLOTS), is(false));
    }

    @Test
    void isNotLimitedBeforeTheReturn() {
      pace.begin(1_000 * MILLI);
      assertThat(pace.isLimited(999 * MILLI, SLOTS), is(false));
      assertThat(pace.isLimited(1_000 * MILLI, SLOTS), is(true));
    }
  }
}
