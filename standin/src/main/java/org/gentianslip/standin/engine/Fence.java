package org.gentianslip.standin.engine;

/**
 * The fencing number of an order; later authors have greater ones. Immutable.
 *
 * @param version the version of the published list
 * @param place the place of the author in the list
 */
public record Fence(long version, long place) implements Comparable<Fence> {

  @Override
  public int compareTo(Fence other) {
    int byVersion = Long.compare(version, other.version);
    return byVersion != 0 ? byVersion : Long.compare(place, other.place);
  }
}
