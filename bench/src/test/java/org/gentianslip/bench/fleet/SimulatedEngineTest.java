package org.gentianslip.bench.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import org.gentianslip.bench.time.EventLoop;
import org.gentianslip.core.id.EngineId;
import org.gentianslip.core.id.Rank;
import org.junit.jupiter.api.Test;

class SimulatedEngineTest {

  private static final long MINUTE_NANOS = 60_000_000_000L;
  private static final EngineSpec SPEC =
      new EngineSpec(1, 2, 10_000_000, 1_000_000, 10_000, 100, 500);

  private final EventLoop loop = new EventLoop();
  private long lastNanos;
  private final List<String> events = new ArrayList<>();
  private final SimulatedEngine engine =
      new SimulatedEngine(EngineId.of("engine"), SPEC, loop, new NoOpObserver());

  private void submit(String name, Rank rank, long prefix) {
    engine.submit(new EngineRequest(rank, prefix, 300, 310, 5, new Recorder(name)));
  }

  @Test
  void startsUrgentRequestsFirst() {
    submit("running", Rank.OTHER, 1);
    submit("other", Rank.OTHER, 1);
    submit("urgent", Rank.URGENT, 1);
    loop.runUntil(MINUTE_NANOS);
    assertThat(events, contains("running", "urgent", "other"));
  }

  @Test
  void refusesRequestsBeyondItsWaitingLimit() {
    for (int i = 0; i < 4; i++) {
      submit("r" + i, Rank.OTHER, 1);
    }
    assertThat(events, contains("refused r3"));
  }

  @Test
  void answersSoonerIfThePrefixIsCached() {
    submit("cold", Rank.OTHER, 1);
    loop.runUntil(MINUTE_NANOS);
    long coldNanos = lastNanos;
    submit("warm", Rank.OTHER, 1);
    loop.runUntil(2 * MINUTE_NANOS);
    assertThat(lastNanos - MINUTE_NANOS, is(lessThan(coldNanos)));
  }

  @Test
  void losesItsRequestsWhenItFails() {
    submit("r", Rank.OTHER, 1);
    engine.fail();
    assertThat(events, contains("lost r"));
  }

  /** Records the events of one request. */
  private final class Recorder implements EngineRequest.Listener {

    private final String name;

    private Recorder(String name) {
      this.name = name;
    }

    @Override
    public void onRefused() {
      events.add("refused " + name);
    }

    @Override
    public void onFirstToken() {
      events.add(name);
    }

    @Override
    public void onComplete() {
      lastNanos = loop.nowNanos();
    }

    @Override
    public void onLost() {
      events.add("lost " + name);
    }
  }
}
