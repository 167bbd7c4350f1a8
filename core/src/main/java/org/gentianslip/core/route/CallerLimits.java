package org.gentianslip.core.route;

/**
 * Bounds what a caller may send. Immutable and safe for use by several threads.
 *
 * @param headerBytes the greatest size of a request's head, in bytes
 * @param bodyBytes the greatest size of a body, in bytes
 * @param headerTimeoutMillis how long a caller may take to send a head, in milliseconds
 * @param idleTimeoutMillis how long a connection may be idle, in milliseconds
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** Holds until a configuration is known; each bound is wider than what operators publish. */
  public static final CallerLimits DEFAULT = new CallerLimits(32_768, 8 << 20, 10_000, 60_000);
}
