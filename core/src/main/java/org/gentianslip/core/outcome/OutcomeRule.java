package org.gentianslip.core.outcome;

/**
 * Determines the outcome of an attempt from its facts.
 *
 * <p>In case of doubt the outcome is {@link Outcome.Unknown}: only the absence of any written byte
 * or the documented refusal proves that a request did not run. Stateless and thread-safe.
 */
public final class OutcomeRule {

  private static final int REQUEST_TIMEOUT = 408;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private OutcomeRule() {}

  /**
   * Returns the outcome of an attempt that has ended with the given facts.
   *
   * <p>The attempt must be closed, so that no byte can be written any more.
   *
   * @see AttemptJournal#close()
   */
  public static Outcome decide(AttemptFacts facts) {
    if (!facts.writeBegun()) {
      return new Outcome.NotRun(
          facts.expired() ? NotRunReason.EXPIRED_BEFORE_WRITE : NotRunReason.NOT_WRITTEN);
    }
    if (facts.status() == 0) {
      return new Outcome.Unknown(UnknownReason.NO_ANSWER);
    }
    if (facts.status() == SERVICE_UNAVAILABLE && facts.notStarted()) {
      return new Outcome.NotRun(NotRunReason.REFUSED_BEFORE_START);
    }
    if (!facts.answerComplete()) {
      return new Outcome.Unknown(UnknownReason.INCOMPLETE_ANSWER);
    }
    if (facts.status() >= FIRST_SERVER_ERROR || facts.status() == REQUEST_TIMEOUT) {
      return new Outcome.Unknown(UnknownReason.BACKEND_ERROR);
    }
    return new Outcome.Completed(facts.status());
  }
}
