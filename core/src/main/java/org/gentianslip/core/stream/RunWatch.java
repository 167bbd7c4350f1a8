package org.gentianslip.core.stream;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a silent or broken stream stays with its engine, so that it is not started on a
 * second engine while the first one still runs it.
 *
 * <p>A run has ended for certain if the engine's report no longer lists it, or if another server
 * has the engine's address. An engine that sends nothing is presumed hung after two calls in a row
 * without an answer if engines of its service are known to answer such calls. If that is not known,
 * a hung engine can't be told from a slow one that lacks the call; then the stream stays as long as
 * the time left allows one more attempt elsewhere, as it does at a backend server without the call.
 * Each belief ends with the next answer. Not thread-safe.
 */
public final class RunWatch {

  /** How long an engine counts as alive after it has sent anything. */
  static final long ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** The age that a report may have, in milliseconds; a run that ends is listed for that long. */
  static final long REPORT_AGE_MILLIS = 400;

  /** How long an engine that has sent a part of an event counts as writing. */
  static final long WRITING_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** The interval of calls while the end of a run is awaited, in milliseconds. */
  static final long POLL_MILLIS = 150;

  /** The calls in a row without an answer after which an engine is presumed hung. */
  private static final int MAX_UNANSWERED = 2;

  private enum State {
    CONNECTED,
    RELEASED,
    BROKEN
  }

  private State state;
  private int unanswered;

  private RunWatch(State state) {
    this.state = state;
  }

  /** Watches a run whose stream is silent. */
  public static RunWatch ofSilent() {
    return new RunWatch(State.CONNECTED);
  }

  /** Watches a run whose connection was closed by a failure. */
  public static RunWatch ofBroken() {
    return new RunWatch(State.BROKEN);
  }

  /** Returns whether the connection to the engine has been closed. */
  public boolean isClosed() {
    return state != State.CONNECTED;
  }

  /**
   * Decides what to do after a call to the engine.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public RunStep next(long nowNanos, RunEvidence evidence, RunFacts facts) {
    // A released run was in a report before, so an answer that is no report shows no running
    // engine.
    boolean reports = state != State.RELEASED || evidence != RunEvidence.NO_REPORT;
    unanswered = evidence.isSignOfLife() && reports ? 0 : unanswered + 1;
    return switch (state) {
      case CONNECTED -> connected(nowNanos, evidence, facts);
      case RELEASED -> released(evidence);
      case BROKEN ->
          evidence == RunEvidence.LISTED ? RunStep.askAgain(POLL_MILLIS) : RunStep.move();
    };
  }

  private RunStep connected(long nowNanos, RunEvidence evidence, RunFacts facts) {
    if (!facts.canMove()) {
      return RunStep.askAgain(facts.silenceMillis());
    }
    return switch (evidence) {
      case LISTED -> facts.spareMillis() < 0 ? release(POLL_MILLIS) : keep(facts);
      case NOT_LISTED -> release(REPORT_AGE_MILLIS);
      case NO_REPORT ->
          isWriting(nowNanos, facts) ? RunStep.move() : RunStep.askAgain(facts.silenceMillis());
      case NO_CALL ->
          isWriting(nowNanos, facts) || facts.spareMillis() < 0 ? RunStep.move() : keep(facts);
      case NO_ANSWER, UNREACHABLE -> unanswered(nowNanos, evidence, facts);
      case OTHER_SERVER -> RunStep.move();
    };
  }

  /**
   * Returns whether the engine sends parts of an event that does not end. It then notices the close
   * of the connection with its next write, so the run ends.
   */
  private static boolean isWriting(long nowNanos, RunFacts facts) {
    return nowNanos - facts.writtenNanos() < WRITING_NANOS;
  }

  private RunStep unanswered(long nowNanos, RunEvidence evidence, RunFacts facts) {
    long aliveNanos = ALIVE_NANOS - (nowNanos - facts.heardNanos());
    if (aliveNanos > 0) {
      return RunStep.askAgain(TimeUnit.NANOSECONDS.toMillis(aliveNanos) + 1);
    }
    if (facts.callKnown() || evidence == RunEvidence.UNREACHABLE) {
      return unanswered < MAX_UNANSWERED ? RunStep.askAgain(0) : RunStep.move();
    }
    return facts.spareMillis() < 0 ? RunStep.move() : keep(facts);
  }

  /** Keeps the stream, at most until the time left allows only one more attempt elsewhere. */
  private static RunStep keep(RunFacts facts) {
    long spareMillis = (long) Math.max(0, facts.spareMillis()) + 1;
    return RunStep.askAgain(Math.min(facts.silenceMillis(), spareMillis));
  }

  private RunStep release(long delayMillis) {
    state = State.RELEASED;
    return RunStep.release(delayMillis);
  }

  private RunStep released(RunEvidence evidence) {
    if (evidence == RunEvidence.NOT_LISTED || evidence == RunEvidence.OTHER_SERVER) {
      return RunStep.move();
    }
    boolean hung = unanswered >= MAX_UNANSWERED;
    return hung ? RunStep.move() : RunStep.askAgain(POLL_MILLIS);
  }
}
