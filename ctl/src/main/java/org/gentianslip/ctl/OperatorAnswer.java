package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/** Tells what came of a call to an instance. Immutable and safe for use by several threads. */
sealed interface OperatorAnswer {

  /**
   * The instance answered with success.
   *
   * @param body the body
   */
  record Success(JsonNode body) implements OperatorAnswer {}

  /** The call had no success. */
  sealed interface Failure extends OperatorAnswer {

    /** Returns which instance failed, and how, as a sentence. */
    String message();
  }

  /**
   * The instance does not know what was asked for.
   *
   * @param message the sentence of the instance
   */
  record NotFound(String message) implements Failure {}

  /**
   * The instance refused, or answered with what cannot be understood.
   *
   * @param message which instance, and what it answered
   */
  record Refused(String message) implements Failure {}

  /**
   * The instance could not be reached.
   *
   * @param message which instance, and why
   */
  record Unreachable(String message) implements Failure {}
}
