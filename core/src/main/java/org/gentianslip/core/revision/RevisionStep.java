package org.gentianslip.core.revision;

import java.util.Objects;

/**
 * Holds the result of one event. Immutable and safe for use by several threads.
 *
 * @param next the state machine after the event
 * @param decision what to do now
 * @param conflict whether the event showed a second content of the revision in force; operators
 *     must publish a later one
 */
public record RevisionStep(RevisionAdoption next, RevisionDecision decision, boolean conflict) {

  /** Checks the parts. */
  public RevisionStep {
    Objects.requireNonNull(next);
    Objects.requireNonNull(decision);
  }
}
