package org.gentianslip.bench.fleet;

import org.gentianslip.bench.time.EventLoop;
import org.gentianslip.core.id.EngineId;

/**
 * Measures the rate of answers of one saturated engine.
 *
 * <p>Every prompt but the first finds its prefix in the cache. Stateless and thread-safe.
 */
public final class CapacityProbe {

  private static final long WARM_UP_NANOS = 60_000_000_000L;
  private static final long MEASURE_NANOS = 240_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;

  private CapacityProbe() {}

  /** Returns the rate of answers of one engine for one kind of work, in answers per second. */
  public static double answersPerSecond(EngineSpec spec, KindSpec kind) {
    var loop = new EventLoop();
    var engine = new SimulatedEngine(EngineId.of("probe"), spec, loop, new NoOpObserver());
    var caller = new ClosedLoopCaller(engine, kind);
    for (int i = 0; i < 2 * spec.slots(); i++) {
      caller.submit(i);
    }
    loop.runUntil(WARM_UP_NANOS);
    long answersBefore = caller.answers;
    loop.runUntil(WARM_UP_NANOS + MEASURE_NANOS);
    return (caller.answers - answersBefore) * NANOS_PER_SECOND / MEASURE_NANOS;
  }

  /**
   * A closed-loop caller, which sends the next request as soon as an answer is complete. Not
   * thread-safe.
   */
  private static final class ClosedLoopCaller {

    private final SimulatedEngine engine;
    private final KindSpec kind;
    private long answers;

    private ClosedLoopCaller(SimulatedEngine engine, KindSpec kind) {
      this.engine = engine;
      this.kind = kind;
    }

    private void submit(long number) {
      int range = kind.maxAnswerTokens() - kind.minAnswerTokens() + 1;
      int answerTokens = kind.minAnswerTokens() + (int) (number * 7919 % range);
      engine.submit(
          new EngineRequest(
              kind.rank(),
              1,
              kind.prefixTokens(),
              kind.promptTokens(),
              answerTokens,
              new AnswerListener()));
    }

    /** Counts an answer and sends the next request. Not thread-safe. */
    private final class AnswerListener implements EngineRequest.Listener {
      @Override
      public void onRefused() {
        throw new IllegalStateException("The probed engine refused a request");
      }

      @Override
      public void onFirstToken() {}

      @Override
      public void onComplete() {
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
