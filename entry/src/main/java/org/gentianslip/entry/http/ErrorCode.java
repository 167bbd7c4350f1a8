package org.gentianslip.entry.http;

import java.util.Locale;

/** The codes of error responses. Immutable and safe for use by several threads. */
public enum ErrorCode {
  /** The body is not valid JSON, or a member is missing or invalid. */
  MALFORMED_JSON(400),
  /** The HTTP request, its path or its query is malformed. */
  MALFORMED_REQUEST(400),
  /** The kind of work is not known for the customer. */
  UNKNOWN_KIND(400),
  /** The key belongs to no customer. */
  UNKNOWN_CUSTOMER(401),
  /** The peers' or operators' key is missing or wrong. */
  FORBIDDEN(403),
  /** Nothing is served at the path. */
  UNKNOWN_PATH(404),
  /** The model is not known. */
  UNKNOWN_MODEL(404),
  /** The service is not known. */
  UNKNOWN_SERVICE(404),
  /** The request is not known to this instance. */
  UNKNOWN_REQUEST(404),
  /** The method is not served at the path. */
  METHOD_NOT_ALLOWED(405),
  /** The ticket is invalid, has expired, or belongs to another call. */
  TICKET_INVALID(409),
  /** The ticket was used before. */
  TICKET_USED(409),
  /** The body is larger than the settings allow. */
  BODY_TOO_LARGE(413),
  /** The content coding of the body is not supported. */
  UNSUPPORTED_CODING(415),
  /** The body is a form, which cannot be passed on byte for byte. */
  UNSUPPORTED_FORM(415),
  /** The payload is not allowed in this region. */
  WRONG_REGION(421),
  /** A call that is not idempotent needs a ticket. */
  TICKET_REQUIRED(428),
  /** The headers are larger than allowed. */
  HEADERS_TOO_LARGE(431),
  /** This instance failed to handle the request. */
  INTERNAL(500),
  /** The backend server failed. */
  BACKEND_FAILED(502),
  /** The backend server may have run the request. */
  OUTCOME_UNKNOWN(502),
  /** No capacity is available. */
  NO_CAPACITY(503),
  /** This instance is leaving. */
  LEAVING(503),
  /** This instance has no settings yet. */
  NOT_READY(503),
  /** The deadline has passed. */
  DEADLINE(504);

  private final int status;

  ErrorCode(int status) {
    this.status = status;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the stable name of the code in error bodies. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
