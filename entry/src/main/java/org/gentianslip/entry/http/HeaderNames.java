package org.gentianslip.entry.http;

/** Names the HTTP headers of the gateway. Immutable and safe for use by several threads. */
public final class HeaderNames {

  /** Names a request in logs, decisions and answers. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Tells whether a request ran: {@code completed}, {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "X-Outcome";

  /** Names the kind of work of a request. */
  public static final String KIND = "X-Kind";

  /** Names the customer of a forwarded request. */
  public static final String CUSTOMER = "X-Customer";

  /** Carries a ticket for a call that is not idempotent. */
  public static final String TICKET = "X-Ticket";

  /** Carries the key that instances share. */
  public static final String PEER_KEY = "X-Peer-Key";

  /** Carries the operators' key. */
  public static final String OPERATOR_KEY = "X-Operator-Key";

  /** Names the region whose backend server answered. */
  public static final String SERVED_REGION = "X-Served-Region";

  /** Numbers the attempts of a forwarded request, from 1. */
  public static final String ATTEMPT = "X-Attempt";

  /** Tells a forwarded request's remaining time, in milliseconds. */
  public static final String REMAINING_MILLIS = "X-Remaining-Millis";

  /** Marks a backend server's refusal that came before any work. */
  public static final String NOT_STARTED = "X-Not-Started";

  /** Tells an engine the priority of a request; a greater number goes first. */
  public static final String PRIORITY = "X-Priority";

  /** Names a call to a plain service. */
  public static final String CALL_ID = "X-Call-Id";

  /** Carries the caller's key after the scheme {@code Bearer}. */
  public static final String AUTHORIZATION = "Authorization";

  private HeaderNames() {}
}
