package org.gentianslip.core.order;

/**
 * The fencing token of an order; tokens from a later version of the list are greater.
 *
 * <p>Immutable and thread-safe.
 *
 * @param listVersion the version of the published list that determined the author
 * @param place the index of the author among the instances of the list sorted by id, starting at 0
 */
public record Fence(long listVersion, int place) implements Comparable<Fence> {

  /** The fence of an engine that has not accepted any order. */
  public static final Fence NONE = new Fence(0, 0);

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public Fence {
    if (listVersion < 0 || place < 0) {
      throw new IllegalArgumentException(
          "Fence must not be negative: [" + listVersion + ", " + place + "]");
    }
  }

  @Override
  public int compareTo(Fence other) {
    int byVersion = Long.compare(listVersion, other.listVersion);
    return byVersion != 0 ? byVersion : Integer.compare(place, other.place);
  }
}
