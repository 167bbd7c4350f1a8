package org.gentianslip.core.routing;

import org.gentianslip.core.id.Rank;

/**
 * The requests that wait in this instance and those that engines run for it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param urgent the backlog of the urgent rank
 * @param other the backlog of the other rank
 * @param customerInFlight the number of requests that this instance has sent to engines and that
 *     have not ended, of the same rank and customer as the request to be decided
 * @param otherInFlight the number of requests of the other rank that this instance has sent to
 *     engines and that have not ended
 * @param urgentDemand the recent mean number of urgent requests that waited or ran
 */
public record QueueView(
    Backlog urgent, Backlog other, int customerInFlight, int otherInFlight, double urgentDemand) {

  /** The view without waiting or running requests. */
  public static final QueueView EMPTY = new QueueView(Backlog.EMPTY, Backlog.EMPTY, 0, 0, 0);

  /**
   * The backlog of a rank. Immutable and thread-safe.
   *
   * @param requests the number of waiting requests
   * @param drainNanos the estimated time until they have left the queue, in nanoseconds; 0 if
   *     unknown
   */
  public record Backlog(int requests, long drainNanos) {

    /** The backlog without requests. */
    public static final Backlog EMPTY = new Backlog(0, 0);

    /**
     * Validates the numbers.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public Backlog {
      if (requests < 0 || drainNanos < 0) {
        throw new IllegalArgumentException(
            "Backlog must not be negative: " + requests + ", " + drainNanos);
      }
    }
  }

  /** Returns the backlog of a rank. */
  public Backlog of(Rank rank) {
    return rank == Rank.URGENT ? urgent : other;
  }
}
