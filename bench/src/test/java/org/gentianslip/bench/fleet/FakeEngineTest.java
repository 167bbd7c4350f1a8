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

class FakeEngineTest {

  private static final long MINUTE = 60_000_000_000L;
  private static final EngineModel MODEL =
      new EngineModel(1, 2, 10_000_000, 1_000_000, 10_000, 100, 500);

  private final EventLoop loop = new EventLoop();
  private long lastNanos;
  private final List<String> heard = new ArrayList<>();
  private final FakeEngine engine =
      new FakeEngine(EngineId.of("engine"), MODEL, loop, new SilentMeter());

  private void submit(String name, Rank rank, long prefix) {
    engine.submit(new EngineJob(rank, prefix, 300, 310, 5, new Recorder(name)));
  }

  @Test
  void startsTheUrgentRequestFirst() {
    submit("running", Rank.OTHER, 1);
    submit("other", Rank.OTHER, 1);
    submit("urgent", Rank.URGENT, 1);
    loop.runUntil(MINUTE);
    assertThat(heard, contains("running", "urgent", "other"));
  }

  @Test
  void refusesBeyondItsWaitingRoom() {
    for (int i = 0; i < 4; i++) {
      submit("r" + i, Rank.OTHER, 1);
    }
    assertThat(heard, contains("refused r3"));
  }

  @Test
  void answersSoonerWhenThePrefixIsCached() {
    submit("cold", Rank.OTHER, 1);
    loop.runUntil(MINUTE);
    long cold = lastNanos;
    submit("warm", Rank.OTHER, 1);
    loop.runUntil(2 * MINUTE);
    assertThat(lastNanos - MINUTE, is(lessThan(cold)));
  }

  @Test
  void losesItsRequestsWhenItFails() {
    submit("r", Rank.OTHER, 1);
    engine.fail();
    assertThat(heard, contains("lost r"));
  }

  /** Records what an engine tells. For one thread. */
  private final class Recorder implements EngineJob.Listener {

    private final String name;

    private Recorder(String name) {
      this.name = name;
    }

    @Override
    public void onRefused() {
      heard.add("refused " + name);
    }

    @Override
    public void onFirstToken() {
      heard.add(name);
    }

    @Override
    public void onDone() {
      lastNanos = loop.nowNanos();
    }

    @Override
    public void onLost() {
      heard.add("lost " + name);
    }
  }
}
