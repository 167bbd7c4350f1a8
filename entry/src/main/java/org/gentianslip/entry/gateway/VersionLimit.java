package org.gentianslip.entry.gateway;

import java.util.Optional;
import org.gentianslip.core.id.SoftwareVersion;
import org.gentianslip.core.published.Backend;

/**
 * Which backend servers may serve a request, by the version of their software. Immutable.
 *
 * @param begun whether the stream has begun, so that only its version may go on with it
 * @param version the version at which it began, if that is known
 */
record VersionLimit(boolean begun, Optional<SoftwareVersion> version) {

  static final VersionLimit NONE = new VersionLimit(false, Optional.empty());

  /** Returns the limit for a stream that began at a version; no server is allowed without it. */
  static VersionLimit of(Optional<SoftwareVersion> version) {
    return new VersionLimit(true, version);
  }

  boolean allows(Backend backend) {
    return !begun || allows(backend.version());
  }

  /** Returns whether an answer of a server with this version, if known, may be passed on. */
  boolean allows(Optional<SoftwareVersion> other) {
    return !begun || (version.isPresent() && version.equals(other));
  }
}
