package org.gentianslip.load.compare;

import org.gentianslip.load.report.LatencySummary;

/**
 * The results of a comparison of direct calls with calls through an entry instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param directFirst the times to the first token of streams sent directly to the engine
 * @param throughFirst the times to the first token of streams sent through the entry
 * @param directWhole the times to the end of streams sent directly to the engine
 * @param throughWhole the times to the end of streams sent through the entry
 * @param directPerSecond the rate of brief calls sent directly to the engine, in calls per second
 * @param throughPerSecond the rate of brief calls sent through the entry, in calls per second
 * @param failures the number of calls that did not get their complete answer
 */
public record CompareReport(
    LatencySummary directFirst,
    LatencySummary throughFirst,
    LatencySummary directWhole,
    LatencySummary throughWhole,
    double directPerSecond,
    double throughPerSecond,
    long failures) {

  /** Returns how much the entry adds to the median time to the first token, in milliseconds. */
  public double addedFirstTokenMillis() {
    return throughFirst.p50Millis() - directFirst.p50Millis();
  }

  /**
   * Returns the ratio of the median time to the first token through the entry to that of direct
   * calls.
   */
  public double firstTokenRatio() {
    return throughFirst.p50Millis() / directFirst.p50Millis();
  }
}
