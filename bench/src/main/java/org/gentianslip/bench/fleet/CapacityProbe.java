package org.gentianslip.bench.fleet;

import org.gentianslip.bench.time.EventLoop;
import org.gentianslip.core.id.EngineId;

/**
 * Measures how many answers a second one engine gives when it is always full.
 *
 * <p>Prompts find their prefix in the cache, except for the first. Stateless and safe for use by
 * several threads.
 */
public final class CapacityProbe {

  private static final long WARM_UP_NANOS = 60_000_000_000L;
  private static final long MEASURE_NANOS = 240_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;

  private CapacityProbe() {}

  /** Returns the answers a second of one engine for one kind of work. */
  public static double answersPerSecond(EngineModel model, KindSpec kind) {
    var loop = new EventLoop();
    var engine = new FakeEngine(EngineId.of("probe"), model, loop, new SilentMeter());
    var caller = new Caller(engine, kind);
    for (int i = 0; i < 2 * model.slots(); i++) {
      caller.submit(i);
    }
    loop.runUntil(WARM_UP_NANOS);
    long before = caller.answers;
    loop.runUntil(WARM_UP_NANOS + MEASURE_NANOS);
    return (caller.answers - before) * NANOS_PER_SECOND / MEASURE_NANOS;
  }

  /** Sends the next request as soon as an answer is whole. For one thread. */
  private static final class Caller {

    private final FakeEngine engine;
    private final KindSpec kind;
    private long answers;

    private Caller(FakeEngine engine, KindSpec kind) {
      this.engine = engine;
      this.kind = kind;
    }

    private void submit(long number) {
      int range = kind.maxAnswerTokens() - kind.minAnswerTokens() + 1;
      int answer = kind.minAnswerTokens() + (int) (number * 7919 % range);
      engine.submit(
          new EngineJob(
              kind.rank(), 1, kind.prefixTokens(), kind.promptTokens(), answer, new Next()));
    }

    /** Goes on with the next request. For one thread. */
    private final class Next implements EngineJob.Listener {
      @Override
      public void onRefused() {
        throw new IllegalStateException("The probed engine refused a request");
      }

      @Override
      public void onFirstToken() {}

      @Override
      public void onDone() {
        answers++;
        submit(answers);
      }

      @Override
      public void onLost() {
        throw new IllegalStateException("The probed engine lost a request");
      }
    }
  }
}
