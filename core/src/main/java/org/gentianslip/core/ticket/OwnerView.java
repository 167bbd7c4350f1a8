package org.gentianslip.core.ticket;

/**
 * The beliefs of an instance about the owner of a ticket.
 *
 * <p>All components are hints: the owner checks every ticket itself. Immutable and thread-safe.
 *
 * @param known whether an instance with the owner's id is listed or known from peers
 * @param reachable whether the owner is believed to answer
 * @param regionAllowed whether the call's payload may be sent to the owner's region
 */
public record OwnerView(boolean known, boolean reachable, boolean regionAllowed) {

  /** The view of an owner that is not known. */
  public static final OwnerView NOT_KNOWN = new OwnerView(false, false, false);
}
