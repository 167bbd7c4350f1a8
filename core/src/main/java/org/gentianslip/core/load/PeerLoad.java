package org.gentianslip.core.load;

/**
 * The load that one or several instances put on a backend server. Immutable and thread-safe.
 *
 * @param running the number of their requests there that have not ended
 * @param urgentPrefillMillis the outstanding prefill time of urgent requests, in milliseconds
 * @param otherPrefillMillis the outstanding prefill time of other requests, in milliseconds
 * @param receivedNanos when the report was received, in nanoseconds of the monotonic clock
 */
public record PeerLoad(
    int running, double urgentPrefillMillis, double otherPrefillMillis, long receivedNanos) {

  /** Returns the load of instances that have no requests at the backend server. */
  public static PeerLoad zero(long receivedNanos) {
    return new PeerLoad(0, 0, 0, receivedNanos);
  }

  /** Returns whether there is no load. */
  public boolean isZero() {
    return running == 0 && urgentPrefillMillis == 0 && otherPrefillMillis == 0;
  }

  /** Returns the sum of two loads, received when this one was. */
  PeerLoad plus(PeerLoad other) {
    return new PeerLoad(
        running + other.running,
        urgentPrefillMillis + other.urgentPrefillMillis,
        otherPrefillMillis + other.otherPrefillMillis,
        receivedNanos);
  }
}
