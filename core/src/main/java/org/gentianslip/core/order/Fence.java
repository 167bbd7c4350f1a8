package org.gentianslip.core.order;

/**
 * The fencing number of an order; that of a later version of the list is greater.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param listVersion the version of the published list in which the author was found
 * @param place the place of the author in the list, counted from 0 in the order of ids
 */
public record Fence(long listVersion, int place) implements Comparable<Fence> {

  /** The fence of an engine that has taken no order. */
  public static final Fence NONE = new Fence(0, 0);

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if one is negative
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
