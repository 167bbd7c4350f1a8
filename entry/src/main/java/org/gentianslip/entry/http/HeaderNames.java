package org.gentianslip.entry.http;

/** The names of the gateway's HTTP headers. Immutable and safe for use by several threads. */
public final class HeaderNames {

  /** The id of a request in logs, decisions and responses. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Whether a request ran: {@code completed}, {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "X-Outcome";

  /** The kind of work of a request. */
  public static final String KIND = "X-Kind";

  /** The customer of a forwarded request. */
  public static final String CUSTOMER = "X-Customer";

  /** The ticket of a call that is not idempotent. */
  public static final String TICKET = "X-Ticket";

  /** The key that instances share. */
  public static final String PEER_KEY = "X-Peer-Key";

  /** The operators' key. */
  public static final String OPERATOR_KEY = "X-Operator-Key";

  /** The region whose backend server responded. */
  public static final String SERVED_REGION = "X-Served-Region";

  /** The number of the attempt at a forwarded request, starting with 1. */
  public static final String ATTEMPT = "X-Attempt";

  /** The remaining time of a forwarded request, in milliseconds. */
  public static final String REMAINING_MILLIS = "X-Remaining-Millis";

  /** Marks a response by which a server refuses a request before starting it. */
  public static final String NOT_STARTED = "X-Not-Started";

  /** The priority of a request at an engine; higher numbers go first. */
  public static final String PRIORITY = "X-Priority";

  /** The id of the engine that an order, or a question for its state, is meant for. */
  public static final String ENGINE = "X-Engine";

  /** The id of a call to a plain service. */
  public static final String CALL_ID = "X-Call-Id";

  /** The caller's key after the scheme {@code Bearer}. */
  public static final String AUTHORIZATION = "Authorization";

  private HeaderNames() {}
}
