package org.gentianslip.core.outcome;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Records the facts of one attempt and freezes its outcome.
 *
 * <p>The journal is also the gate of the write: either {@link #beginWrite} comes first and the
 * outcome counts the request as written, or {@link #close} comes first and no byte may be written
 * any more. The right to write is given once, so a library cannot send a request again unseen. So
 * an outcome {@link Outcome.NotRun} stays true whatever the attempt's threads do later. After the
 * close, late facts are dropped. Safe for use by several threads.
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
   * Asks for the right to write the first byte; to be called immediately before the write.
   *
   * @param nowNanos the present time, in nanoseconds of the monotonic clock
   * @param notAfterNanos when the right to write ends, on the same clock
   * @return whether the write may begin, which is true at most once; if not, the caller must not
   *     write a byte
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
   * @param notStarted whether the header {@code X-Not-Started: true} is there
   * @throws IllegalArgumentException if {@code status} is no final HTTP status code
   */
  public void headersRead(int status, boolean notStarted) {
    if (status < 200 || status > 999) {
      throw new IllegalArgumentException("Status must be from 200 to 999: " + status);
    }
    change(facts -> facts.withHeaders(status, notStarted));
  }

  /** Records that the answer's body was read to its proper end. */
  public void answerRead() {
    change(AttemptFacts::withWholeAnswer);
  }

  /**
   * Ends the attempt and returns its outcome.
   *
   * <p>Every further call returns the same outcome.
   */
  public Outcome close() {
    return OutcomeRule.decide(state.updateAndGet(s -> new State(s.facts(), true)).facts());
  }

  private void change(Change change) {
    state.updateAndGet(s -> s.closed() ? s : new State(change.apply(s.facts()), false));
  }
}
