package org.gentianslip.standin.engine;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;

/**
 * The fencing number of an order; later authors have greater ones. Immutable.
 *
 * @param version the version of the published list
 * @param place the place of the author in the list
 */
public record Fence(long version, long place) implements Comparable<Fence> {

  /** Returns the form that orders have, {@code [VERSION, PLACE]}. */
  @JsonValue
  List<Long> toJson() {
    return List.of(version, place);
  }

  @Override
  public int compareTo(Fence other) {
    int byVersion = Long.compare(version, other.version);
    return byVersion != 0 ? byVersion : Long.compare(place, other.place);
  }
}
