package org.gentianslip.core.ticket;

/**
 * Holds what an instance believes of the owner of a ticket.
 *
 * <p>All of it is a hint: the owner checks every ticket itself. Immutable and safe for use by
 * several threads.
 *
 * @param known whether an instance of that name is listed or was heard of
 * @param reachable whether the instance is believed to answer
 * @param regionAllowed whether the call's payload may go to the instance's region
 */
public record OwnerView(boolean known, boolean reachable, boolean regionAllowed) {

  /** The view of an instance that was never heard of. */
  public static final OwnerView NOT_KNOWN = new OwnerView(false, false, false);
}
