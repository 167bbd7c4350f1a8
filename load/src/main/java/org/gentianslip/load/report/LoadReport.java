package org.gentianslip.load.report;

import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.gentianslip.core.id.Rank;

/**
 * The results of a load run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rows the results by rank and region
 * @param ranks the results by rank, summed over all regions
 * @param heldBack the number of arrivals that were not sent because of the limit on calls in flight
 * @param refusalsFollowed the number of refusals after which a caller tried another entry
 * @param codes the number of calls that ended with each error code
 * @param faults a description of each of the first unknown or wrong calls
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

  /** Returns the number of calls that got their complete answer. */
  public long answered() {
    return sum(Row::answered);
  }

  /** Returns the number of calls that are known not to have run. */
  public long notRun() {
    return sum(Row::notRun);
  }

  /** Returns the number of calls of which it is not known whether they ran. */
  public long unknown() {
    return sum(Row::unknown);
  }

  /** Returns the number of calls whose reported answer was not the expected one. */
  public long wrong() {
    return sum(Row::wrong);
  }

  private long sum(ToLongFunction<Row> field) {
    return rows.stream().mapToLong(field).sum();
  }

  /**
   * The results of the calls of one rank from one region.
   *
   * <p>Immutable and thread-safe.
   *
   * @param rank the rank of the calls
   * @param region the region of the callers, or {@code all}
   * @param sent the number of calls sent
   * @param answered the number of calls that got their complete answer
   * @param notRun the number of calls that are known not to have run
   * @param unknown the number of calls of which it is not known whether they ran
   * @param wrong the number of calls whose reported answer was not the expected one
   * @param sentAway the number of answered calls that a region other than the region of the entry
   *     served
   * @param firstToken the times to the first token of streams
   * @param tokenGap the times between successive tokens of streams
   * @param whole the times to the end of the answer
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
      LatencySummary firstToken,
      LatencySummary tokenGap,
      LatencySummary whole) {

    /** Returns the share of answered calls that another region served, from 0 to 1. */
    public double sentAwayShare() {
      return answered == 0 ? 0 : (double) sentAway / answered;
    }
  }
}
