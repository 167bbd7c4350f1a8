package org.gentianslip.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/** The result of a request to an instance. Immutable and safe for use by several threads. */
sealed interface OperatorResponse {

  /**
   * The instance responded with success.
   *
   * @param body the JSON body
   */
  record Success(JsonNode body) implements OperatorResponse {}

  /** The request failed. */
  sealed interface Failure extends OperatorResponse {

    /** Returns a sentence that names the instance and the cause. */
    String message();
  }

  /**
   * The instance has no such resource.
   *
   * @param message the error message of the instance
   */
  record NotFound(String message) implements Failure {}

  /**
   * The instance responded with an error or with an unreadable body.
   *
   * @param message a sentence with the instance and its response
   */
  record Refused(String message) implements Failure {}

  /**
   * The instance could not be reached.
   *
   * @param message a sentence with the instance and the cause
   */
  record Unreachable(String message) implements Failure {}
}
