package org.gentianslip.core.ticket;

import java.util.Objects;
import org.gentianslip.core.id.Incarnation;
import org.gentianslip.core.id.InstanceId;

/**
 * The decision of an instance about a call whose ticket another incarnation issued.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface ForeignTicketDecision {

  /**
   * The call is forwarded to the owner of its ticket; it is not forwarded again from there.
   *
   * @param owner the instance that issued the ticket
   * @param incarnation the incarnation that issued it; a different incarnation of the owner refuses
   *     the call
   */
  record PassToOwner(InstanceId owner, Incarnation incarnation) implements ForeignTicketDecision {
    /** Validates the components. */
    public PassToOwner {
      Objects.requireNonNull(owner);
      Objects.requireNonNull(incarnation);
    }
  }

  /** The answer is that the call did not run, since the ticket is bound to another call. */
  record NeverExecutable() implements ForeignTicketDecision {}

  /**
   * The answer is that it is unknown whether the call ran.
   *
   * @param reason the reason why the call is not forwarded to the owner
   */
  record Unknown(Reason reason) implements ForeignTicketDecision {
    /** Validates the reason. */
    public Unknown {
      Objects.requireNonNull(reason);
    }
  }

  /** The reason why a call is not forwarded to the owner of its ticket. Thread-safe. */
  enum Reason {
    /** No instance with the owner's id is known. */
    OWNER_NOT_KNOWN,
    /** The owner is believed not to answer. */
    OWNER_NOT_REACHABLE,
    /** The call's payload must not be sent to the owner's region. */
    OWNER_REGION_NOT_ALLOWED,
    /** The call was forwarded by another instance and must not be forwarded again. */
    ALREADY_PASSED
  }
}
