package org.gentianslip.core.stream;

/**
 * What to do next about a run.
 *
 * @param action what to do at once
 * @param delayMillis how long to wait before the engine is asked again, in milliseconds; 0 if it is
 *     not asked again or at once
 */
public record RunStep(Action action, long delayMillis) {

  /** What to do about a run. */
  public enum Action {
    /** Keep the connection if there is one, and ask again later. */
    ASK_AGAIN,
    /** Close the connection and ask again later, as the run must end before another one starts. */
    RELEASE,
    /** Close the connection and start the request elsewhere. */
    MOVE
  }

  static RunStep askAgain(long delayMillis) {
    return new RunStep(Action.ASK_AGAIN, delayMillis);
  }

  static RunStep release(long delayMillis) {
    return new RunStep(Action.RELEASE, delayMillis);
  }

  static RunStep move() {
    return new RunStep(Action.MOVE, 0);
  }
}
