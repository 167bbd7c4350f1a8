package org.gentianslip.standin.engine;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;

/**
 * The fencing number of a received order; orders of later authors have higher ones. Immutable.
 *
 * @param version the version of the published list of instances
 * @param place the position of the author in the list
 */
public record ReceivedFence(long version, long place) implements Comparable<ReceivedFence> {

  /** Returns the JSON form {@code [VERSION, PLACE]}, as in orders. */
  @JsonValue
  List<Long> toJson() {
    return List.of(version, place);
  }

  @Override
  public int compareTo(ReceivedFence other) {
    int byVersion = Long.compare(version, other.version);
    return byVersion != 0 ? byVersion : Long.compare(place, other.place);
  }
}
