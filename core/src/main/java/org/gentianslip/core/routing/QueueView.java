package org.gentianslip.core.routing;

import org.gentianslip.core.id.Rank;

/**
 * Tells what waits in this instance and what runs for it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param urgent the backlog of the urgent rank
 * @param other the backlog of the other rank
 * @param customerInFlight the requests of the rank and the customer of the request that this
 *     instance has sent to engines and that have not ended
 * @param otherInFlight the requests of the other rank that this instance has sent to engines and
 *     that have not ended
 * @param urgentDemand the mean number of urgent requests that waited or ran lately
 */
public record QueueView(
    Backlog urgent, Backlog other, int customerInFlight, int otherInFlight, double urgentDemand) {

  /** No request waits or runs. */
  public static final QueueView EMPTY = new QueueView(Backlog.EMPTY, Backlog.EMPTY, 0, 0, 0);

  /**
   * Holds the backlog of a rank. Immutable and safe for use by several threads.
   *
   * @param requests the number of waiting requests
   * @param drainNanos how long they take to drain, in nanoseconds; 0 if there is no telling
   */
  public record Backlog(int requests, long drainNanos) {

    /** No request waits. */
    public static final Backlog EMPTY = new Backlog(0, 0);

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public Backlog {
      if (requests < 0 || drainNanos < 0) {
        throw new IllegalArgumentException(
            "A backlog must not be negative: " + requests + ", " + drainNanos);
      }
    }
  }

  /** Returns the backlog of a rank. */
  public Backlog of(Rank rank) {
    return rank == Rank.URGENT ? urgent : other;
  }
}
