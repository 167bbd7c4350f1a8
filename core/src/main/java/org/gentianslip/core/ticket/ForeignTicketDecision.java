package org.gentianslip.core.ticket;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;

/**
 * Tells what an instance does with a call whose ticket another incarnation minted.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface ForeignTicketDecision {

  /**
   * Passes the call to the owner of its ticket; this is the call's only hop.
   *
   * @param owner the instance that minted the ticket
   * @param incarnation the life that minted it; the owner refuses if it is another one
   */
  record PassToOwner(InstanceId owner, Incarnation incarnation) implements ForeignTicketDecision {
    /** Checks the parts. */
    public PassToOwner {
      Objects.requireNonNull(owner);
      Objects.requireNonNull(incarnation);
    }
  }

  /** Answers that the call did not run, since the ticket is bound to another call. */
  record NeverExecutable() implements ForeignTicketDecision {}

  /**
   * Answers that it is unknown whether the call ran.
   *
   * @param reason why the owner can't be asked
   */
  record Unknown(Reason reason) implements ForeignTicketDecision {
    /** Checks the reason. */
    public Unknown {
      Objects.requireNonNull(reason);
    }
  }

  /** Tells why the owner of a ticket can't be asked. Safe for use by several threads. */
  enum Reason {
    /** No instance of that name is known. */
    OWNER_NOT_KNOWN,
    /** The owner does not answer. */
    OWNER_NOT_REACHABLE,
    /** The call's payload may not go to the owner's region. */
    OWNER_REGION_NOT_ALLOWED,
    /** The call has come from another instance and may not be passed on again. */
    ALREADY_PASSED
  }
}
