package org.gentianslip.entry.gateway;

/**
 * Holds the bounds that the operators set for all instances. Immutable and safe for use by several
 * threads.
 *
 * @param repeatShare the repeats that are allowed for each request to a service
 * @param repeatExtra the repeats that are allowed beside, by all instances together
 * @param repeatWindowMillis the window of both, in milliseconds
 * @param coldShare the factor by which a cold backend server's pace may be exceeded
 * @param coldExtra the requests a second that may come beside, by all instances together
 * @param graceMillis the time from the order to shut down to the end, in milliseconds
 */
public record GatewayBounds(
    double repeatShare,
    double repeatExtra,
    long repeatWindowMillis,
    double coldShare,
    double coldExtra,
    long graceMillis) {

  /** The part of a shared bound that is used, since the number of the others may lag. */
  static final double PART_OF_BOUND = 0.85;
}
