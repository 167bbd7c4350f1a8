package org.gentianslip.load.report;

import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.gentianslip.core.id.Rank;

/**
 * The figures of a run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rows the figures by rank and region
 * @param ranks the figures by rank over all regions
 * @param heldBack the number of arrivals not sent for the limit on calls in flight
 * @param refusalsFollowed the number of refusals after which a caller tried another entry
 * @param codes the number of calls that ended with each error code
 * @param faults a sentence on each of the first unknown or wrong calls
 */
public record LoadReport(
    List<Row> rows,
    List<Row> ranks,
    long heldBack,
    long refusalsFollowed,
    Map<String, Long> codes,
    List<String> faults) {

  /** Returns the number of calls that were sent. */
  public long sent() {
    return sum(Row::sent);
  }

  /** Returns the number of calls that were answered whole. */
  public long answered() {
    return sum(Row::answered);
  }

  /** Returns the number of calls that did not run. */
  public long notRun() {
    return sum(Row::notRun);
  }

  /** Returns the number of calls of which it is not known whether they ran. */
  public long unknown() {
    return sum(Row::unknown);
  }

  /** Returns the number of answers that were called complete, but were not the call's own. */
  public long wrong() {
    return sum(Row::wrong);
  }

  private long sum(ToLongFunction<Row> field) {
    return rows.stream().mapToLong(field).sum();
  }

  /**
   * The figures of one rank in one region.
   *
   * <p>Immutable and safe for use by several threads.
   *
   * @param rank the calls' rank
   * @param region the callers' region, or {@code all}
   * @param sent the number of calls sent
   * @param answered the number of calls answered whole
   * @param notRun the number of calls that did not run
   * @param unknown the number of calls of which it is not known whether they ran
   * @param wrong the number of wrong answers
   * @param sentAway the number of answered calls that another region than the entry's ran
   * @param firstToken the time to the first token of streams
   * @param tokenGap the time between tokens of streams
   * @param whole the time to the answer's end
   */
  public record Row(
      Rank rank,
      String region,
      long sent,
      long answered,
      long notRun,
      long unknown,
      long wrong,
      long sentAway,
      Latency firstToken,
      Latency tokenGap,
      Latency whole) {

    /** Returns the share of answered calls that another region ran, from 0 to 1. */
    public double sentAwayShare() {
      return answered == 0 ? 0 : (double) sentAway / answered;
    }
  }
}
