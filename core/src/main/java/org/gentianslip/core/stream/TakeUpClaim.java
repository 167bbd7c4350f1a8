package org.gentianslip.core.stream;

import java.util.List;
import java.util.Optional;
import org.gentianslip.core.id.ServiceId;
import org.gentianslip.core.id.SoftwareVersion;

/**
 * What a request says of an earlier part of its stream. Immutable and thread-safe.
 *
 * @param takesUp whether the request goes on with a stream at all
 * @param stated whether an instance that forwards the request states a version
 * @param statedVersion the stated version, if it is readable
 * @param resumed the ids of attempts that the request names, as they were received
 * @param service the service that serves the request
 * @param streamNanos how long a stream of its route may last, in nanoseconds
 * @param receivedNanos when the request was received, in nanoseconds of the monotonic clock
 */
public record TakeUpClaim(
    boolean takesUp,
    boolean stated,
    Optional<SoftwareVersion> statedVersion,
    List<String> resumed,
    ServiceId service,
    long streamNanos,
    long receivedNanos) {

  /** Copies the ids. */
  public TakeUpClaim {
    resumed = List.copyOf(resumed);
  }
}
