package org.gentianslip.core.fleet;

import java.util.Optional;
import org.gentianslip.core.id.InstanceId;

/**
 * An instance to send a message to. Immutable and thread-safe.
 *
 * @param id its id, or an empty value if only its address is known
 * @param controlAddress its address, as {@code IP:PORT}
 * @param scope the load to report to it
 */
public record Contact(Optional<InstanceId> id, String controlAddress, LoadScope scope) {

  /** Returns an instance to which a load is reported. */
  public static Contact of(PeerRecord peer, LoadScope scope) {
    return new Contact(Optional.of(peer.id()), peer.controlAddress(), scope);
  }

  static Contact ofAddress(String controlAddress) {
    return new Contact(Optional.empty(), controlAddress, LoadScope.NONE);
  }
}
