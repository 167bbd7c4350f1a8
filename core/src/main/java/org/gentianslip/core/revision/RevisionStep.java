package org.gentianslip.core.revision;

import java.util.Objects;

/**
 * The result of one event. Immutable and thread-safe.
 *
 * @param next the state machine after the event
 * @param decision the action to take
 * @param conflict whether the event showed different contents with the same revision as the state
 *     in force; operators must then publish a later revision
 */
public record RevisionStep(RevisionAdoption next, RevisionDecision decision, boolean conflict) {

  /** Validates the components. */
  public RevisionStep {
    Objects.requireNonNull(next);
    Objects.requireNonNull(decision);
  }
}
