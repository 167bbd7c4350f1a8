package org.gentianslip.core.route;

/**
 * The limits on the requests of a caller. Immutable and thread-safe.
 *
 * @param headerBytes the maximum size of the request line and the headers, in bytes
 * @param bodyBytes the maximum size of a body, in bytes
 * @param headerTimeoutMillis the maximum time that a caller may take to send the headers, in
 *     milliseconds
 * @param idleTimeoutMillis the maximum time that a connection may be idle, in milliseconds
 * @param withKeys whether requests carry keys, so that a header that is too long may be one
 */
public record CallerLimits(
    int headerBytes,
    int bodyBytes,
    long headerTimeoutMillis,
    long idleTimeoutMillis,
    boolean withKeys) {

  /**
   * The limits that apply until a configuration is known. Each is wider than the limits that
   * operators publish.
   */
  public static final CallerLimits DEFAULT = new CallerLimits(32_768, 8 << 20, 10_000, 60_000);

  /** Creates limits for requests without keys. */
  public CallerLimits(
      int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    this(headerBytes, bodyBytes, headerTimeoutMillis, idleTimeoutMillis, false);
  }

  /** Returns a copy for requests with keys. */
  public CallerLimits forKeys() {
    return new CallerLimits(headerBytes, bodyBytes, headerTimeoutMillis, idleTimeoutMillis, true);
  }
}
