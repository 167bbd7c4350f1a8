package org.gentianslip.load.compare;

import java.time.Duration;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.WorkShare;
import org.gentianslip.load.work.Workload;

/**
 * What a comparison sends.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param direct the model engine's address, as {@code IP:PORT}
 * @param through the entry instance's address, as {@code IP:PORT}
 * @param stream the streamed calls
 * @param brief the calls whose number a second is measured
 * @param streams the number of concurrent streams on each path
 * @param briefCallers the number of callers that send brief calls, on one path at a time
 * @param phase how long each of the two measurements takes
 * @param slice how long brief calls go one way before they go the other
 */
public record ComparePlan(
    String direct,
    String through,
    WorkShare stream,
    WorkShare brief,
    int streams,
    int briefCallers,
    Duration phase,
    Duration slice) {

  private static final Duration SLICE = Duration.ofSeconds(1);

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if a number or time is not above 0
   */
  public ComparePlan {
    if (streams < 1 || briefCallers < 1) {
      throw new IllegalArgumentException(
          "numbers of callers must be at least 1, but are %d and %d"
              .formatted(streams, briefCallers));
    }
    if (phase.isZero() || phase.isNegative() || slice.isZero() || slice.isNegative()) {
      throw new IllegalArgumentException(
          "times must be above 0, but are %s and %s".formatted(phase, slice));
    }
  }

  /**
   * Returns the plan of a fleet's first customer that streams.
   *
   * @param seconds how long each of the two measurements takes
   */
  public static ComparePlan of(
      Workload workload,
      String direct,
      String through,
      int streams,
      int maxTokens,
      int briefCallers,
      long seconds) {
    WorkShare base = workload.only(ActionType.CHAT_STREAM).shares().get(0);
    return new ComparePlan(
        direct,
        through,
        base.withAction(ActionType.CHAT_STREAM, maxTokens),
        base.withAction(ActionType.CHAT_WHOLE, 1),
        streams,
        briefCallers,
        Duration.ofSeconds(seconds),
        SLICE);
  }
}
