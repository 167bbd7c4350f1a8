package org.gentianslip.load.compare;

import java.time.Duration;
import org.gentianslip.load.work.ActionType;
import org.gentianslip.load.work.Workload;
import org.gentianslip.load.work.WorkloadShare;

/**
 * The parameters of a comparison of direct calls with calls through an entry instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param direct the address of the model engine, as {@code IP:PORT}
 * @param through the address of the entry instance, as {@code IP:PORT}
 * @param stream the streamed calls, for which latencies are measured
 * @param brief the short calls, for which the rate is measured
 * @param streams the number of concurrent streams on each path
 * @param briefCallers the number of concurrent callers of brief calls, which use one path at a time
 * @param phase the duration of each of the two measurements
 * @param slice how long brief calls use one path before they switch to the other
 */
public record ComparePlan(
    String direct,
    String through,
    WorkloadShare stream,
    WorkloadShare brief,
    int streams,
    int briefCallers,
    Duration phase,
    Duration slice) {

  private static final Duration SLICE = Duration.ofSeconds(1);

  /**
   * Validates the parameters.
   *
   * @throws IllegalArgumentException if a number or duration is not above 0
   */
  public ComparePlan {
    if (streams < 1 || briefCallers < 1) {
      throw new IllegalArgumentException(
          "streams and briefCallers must be at least 1, but are %d and %d"
              .formatted(streams, briefCallers));
    }
    if (phase.isZero() || phase.isNegative() || slice.isZero() || slice.isNegative()) {
      throw new IllegalArgumentException(
          "phase and slice must be above 0, but are %s and %s".formatted(phase, slice));
    }
  }

  /**
   * Returns a plan with the calls of the first customer of the workload that streams.
   *
   * @param seconds the duration of each of the two measurements, in seconds
   */
  public static ComparePlan of(
      Workload workload,
      String direct,
      String through,
      int streams,
      int maxTokens,
      int briefCallers,
      long seconds) {
    WorkloadShare base = workload.only(ActionType.CHAT_STREAM).shares().get(0);
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
