package org.gentianslip.core.outcome;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Records the facts of one attempt and determines its final outcome.
 *
 * <p>The journal also guards the write: if {@link #beginWrite} comes first, the outcome counts the
 * request as written; if {@link #close} comes first, no byte may be written any more. The
 * permission to write is granted once, so an HTTP library cannot resend a request unnoticed. An
 * outcome {@link Outcome.NotRun} therefore remains true whatever the attempt's threads do later.
 * Facts that are recorded after the close are ignored. Thread-safe.
 */
public final class AttemptJournal {

  private final AtomicReference<State> state =
      new AtomicReference<>(new State(AttemptFacts.NONE, false));

  private record State(AttemptFacts facts, boolean closed) {

    boolean isOpen() {
      return !closed && !facts.writeBegun() && !facts.expired();
    }

    State begun(boolean late) {
      return new State(late ? facts.withExpired() : facts.withWriteBegun(), closed);
    }
  }

  private interface Change {
    AttemptFacts apply(AttemptFacts facts);
  }

  /**
   * Requests permission to write the first byte; must be called immediately before the write.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param notAfterNanos when the permission to write expires, on the same clock
   * @return whether the write may begin, which is true at most once; if false, the caller must not
   *     write any byte
   */
  public boolean beginWrite(long nowNanos, long notAfterNanos) {
    boolean late = nowNanos - notAfterNanos >= 0;
    State before = state.getAndUpdate(s -> s.isOpen() ? s.begun(late) : s);
    return before.isOpen() && !late;
  }

  /**
   * Records the headers of the answer.
   *
   * @param status the status code
   * @param notStarted whether the answer has the header {@code X-Not-Started: true}
   * @throws IllegalArgumentException if {@code status} is not a final HTTP status code
   */
  public void headersRead(int status, boolean notStarted) {
    if (status < 200 || status > 999) {
      throw new IllegalArgumentException("Status must be from 200 to 999: " + status);
    }
    change(facts -> facts.withHeaders(status, notStarted));
  }

  /** Records that the answer's body was read completely. */
  public void answerCompleted() {
    change(AttemptFacts::withCompleteAnswer);
  }

  /**
   * Ends the attempt and returns its outcome.
   *
   * <p>Every later call returns the same outcome.
   */
  public Outcome close() {
    return OutcomeRule.decide(state.updateAndGet(s -> new State(s.facts(), true)).facts());
  }

  private void change(Change change) {
    state.updateAndGet(s -> s.closed() ? s : new State(change.apply(s.facts()), false));
  }
}
