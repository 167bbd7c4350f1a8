package org.gentianslip.core.stream;

import org.gentianslip.core.id.SoftwareVersion;

/** Where a request may run, by what it says of an earlier part of its stream. Immutable. */
public sealed interface TakeUp {

  /** The request does not take a stream up and may run at any version. */
  record Fresh() implements TakeUp {}

  /**
   * The request goes on with a stream that began at a version.
   *
   * @param version the version
   * @param reason how the version is known
   */
  record AtVersion(SoftwareVersion version, Reason reason) implements TakeUp {}

  /**
   * The stream began at the only version that the service has had, unless a change that is not
   * known yet says otherwise. The request must not run before all changes are known that were
   * published before it was received.
   */
  record Unconfirmed() implements TakeUp {}

  /** The version at which the stream began is not known, so the request must not run. */
  record Unknown() implements TakeUp {}

  /** How the version at which a stream began is known. */
  enum Reason {
    /** The instance that forwards the request states it. */
    STATED,
    /** The request names the attempt that brought the first event, which was recorded. */
    RECORDED,
    /** The service has had no other version for longer than a stream lasts. */
    ONLY_VERSION
  }
}
