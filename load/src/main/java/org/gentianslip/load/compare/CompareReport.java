package org.gentianslip.load.compare;

import org.gentianslip.load.report.Latency;

/**
 * What an entry instance adds.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param directFirst the time to the first token when the engine is called directly
 * @param throughFirst the time to the first token through the entry
 * @param directWhole the time to the end of a stream when the engine is called directly
 * @param throughWhole the time to the end of a stream through the entry
 * @param directPerSecond the brief calls a second when the engine is called directly
 * @param throughPerSecond the brief calls a second through the entry
 * @param failures the number of calls that were not answered whole
 */
public record CompareReport(
    Latency directFirst,
    Latency throughFirst,
    Latency directWhole,
    Latency throughWhole,
    double directPerSecond,
    double throughPerSecond,
    long failures) {

  /** Returns the median time to the first token that the entry adds, in milliseconds. */
  public double addedFirstMillis() {
    return throughFirst.p50Millis() - directFirst.p50Millis();
  }

  /** Returns the ratio of the median times to the first token. */
  public double firstRatio() {
    return throughFirst.p50Millis() / directFirst.p50Millis();
  }
}
