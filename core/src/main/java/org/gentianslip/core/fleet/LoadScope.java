package org.gentianslip.core.fleet;

/** Whose load on the backend servers a message reports. */
public enum LoadScope {
  /** Nobody's: the message reports no load. */
  NONE,
  /** The load of the sender alone, reported to the relay of its data centre. */
  INSTANCE,
  /** The sum of the sender's data centre, exchanged between relays of a region. */
  DATA_CENTRE,
  /** The sum of all instances of the region but the receiver, reported by a relay. */
  REGION;

  /** Returns the scope of the response to a message of this scope. */
  public LoadScope ofResponse() {
    return this == INSTANCE ? REGION : this;
  }
}
