package org.gentianslip.core.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.ServiceId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against an instance that does not notice that it is cut off from a service. */
@DisplayName("What an instance knows of its connections to a service")
class ServiceReachTest {

  private static final ServiceId DESK = ServiceId.of("desk");
  private static final ServiceId FARM = ServiceId.of("farm");
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final ServiceReach reach = new ServiceReach();

  private static EngineId server(int number) {
    return EngineId.of("i-" + number);
  }

  private static Set<EngineId> servers(int count) {
    return IntStream.range(0, count).mapToObj(ServiceReachTest::server).collect(Collectors.toSet());
  }

  private void fail(long millis, int server, int known) {
    reach.recordFailed(millis * MILLI, DESK, server(server), servers(known));
  }

  @Nested
  @DisplayName("while connections fail")
  class Failing {

    @Test
    void isUnreachedOnceAllServersFailed() {
      fail(0, 0, 3);
      fail(10, 1, 3);
      assertThat(reach.state(DESK), is(ServiceReach.State.SUSPECTED));
      fail(20, 2, 3);
      assertThat(reach.unreached(), is(Set.of(DESK)));
    }

    @Test
    void isUnreachedOnceTheOnlyServerFailed() {
      fail(0, 0, 1);
      assertThat(reach.isUnreached(DESK), is(true));
    }

    @Test
    void isUnreachedOnceManyOfMoreServersFailed() {
      for (int i = 0; i < ServiceReach.DECISIVE; i++) {
        assertThat(reach.isUnreached(DESK), is(false));
        fail(i, i, 400);
      }
      assertThat(reach.isUnreached(DESK), is(true));
    }

    @Test
    void isReachedIfTheSameServerFailsAgainAndAgain() {
      for (int i = 0; i < 20; i++) {
        fail(i * 100, 0, 3);
      }
      assertThat(reach.state(DESK), is(ServiceReach.State.REACHED));
    }

    @Test
    void isReachedIfOneConnectionIsEstablishedInBetween() {
      fail(0, 0, 3);
      fail(10, 1, 3);
      reach.recordReached(15 * MILLI, DESK);
      fail(20, 2, 3);
      assertThat(reach.state(DESK), is(ServiceReach.State.REACHED));
    }

    @Test
    void isReachedIfTheFailuresAreFarApart() {
      long apartMillis = TimeUnit.NANOSECONDS.toMillis(ServiceReach.EVIDENCE_NANOS) + 1;
      for (int i = 0; i < 3; i++) {
        fail(i * apartMillis, i, 3);
      }
      assertThat(reach.state(DESK), is(ServiceReach.State.REACHED));
    }

    @Test
    void concernsNoOtherService() {
      fail(0, 0, 1);
      assertThat(reach.isUnreached(FARM), is(false));
    }
  }

  @Nested
  @DisplayName("whose connections are tried")
  class Trials {

    @Test
    void triesAllServersThatDecideOnceItIsSuspected() {
      fail(0, 0, 12);
      assertThat(reach.pollTrials(MILLI, DESK, servers(12)), is(empty()));
      fail(10, 1, 12);
      assertThat(reach.pollTrials(10 * MILLI, DESK, servers(12)), hasSize(ServiceReach.DECISIVE));
    }

    @Test
    void triesTheServersInTurnWhileItIsUnreached() {
      for (int i = 0; i < 3; i++) {
        fail(0, i, 3);
      }
      Set<EngineId> tried =
          IntStream.rangeClosed(1, 3)
              .mapToObj(i -> reach.pollTrials(i * ServiceReach.RETRIAL_NANOS, DESK, servers(3)))
              .peek(t -> assertThat(t, hasSize(1)))
              .map(t -> t.get(0))
              .collect(Collectors.toSet());
      assertThat(tried, is(servers(3)));
    }

    @Test
    void triesNoMoreThanOneInAnInterval() {
      fail(0, 0, 1);
      reach.pollTrials(ServiceReach.RETRIAL_NANOS, DESK, servers(1));
      assertThat(reach.pollTrials(ServiceReach.RETRIAL_NANOS + 1, DESK, servers(1)), is(empty()));
    }
  }

  @Nested
  @DisplayName("when it is over")
  class Over {

    @Test
    void isReachedWithTheFirstConnection() {
      fail(0, 0, 1);
      reach.recordReached(MILLI, DESK);
      assertThat(reach.unreached(), is(empty()));
    }

    @Test
    void returnsForSomeSeconds() {
      fail(0, 0, 1);
      reach.recordReached(MILLI, DESK);
      assertThat(reach.isReturning(MILLI, DESK), is(true));
      assertThat(reach.isReturning(MILLI + ServiceReach.RETURN_NANOS, DESK), is(false));
    }

    @Test
    void isOverIfTheServiceHasNoMoreServers() {
      fail(0, 0, 1);
      reach.update(MILLI, DESK, Set.of());
      assertThat(reach.isUnreached(DESK), is(false));
    }
  }
}
