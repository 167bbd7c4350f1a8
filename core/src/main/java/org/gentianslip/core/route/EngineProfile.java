package org.gentianslip.core.route;

/**
 * Describes the model engines of a service. Immutable and safe for use by several threads.
 *
 * @param slots the requests that an engine runs at once
 * @param cacheTokens the tokens that fit into an engine's memory
 * @param eventTokens the tokens in one event of a stream
 * @param tokenBytes the bytes of a cached token
 * @param linkMegabits the megabits that pass between two engines in a second; 0 if nothing may be
 *     copied
 */
public record EngineProfile(
    int slots, long cacheTokens, int eventTokens, double tokenBytes, double linkMegabits) {

  private static final double BITS_PER_BYTE = 8;
  private static final double BITS_PER_MEGABIT_MILLI = 1_000;

  /** Returns the time to copy a cached token from an engine near by, in milliseconds. */
  public double copyMillisPerToken() {
    return tokenBytes * BITS_PER_BYTE / (linkMegabits * BITS_PER_MEGABIT_MILLI);
  }
}
