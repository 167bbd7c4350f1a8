package org.gentianslip.core.route;

/**
 * The properties that the model engines of a service share. Immutable and thread-safe.
 *
 * @param slots the number of requests that an engine runs at once
 * @param cacheTokens the number of tokens that fit into an engine's memory
 * @param eventTokens the number of tokens in one event of a stream
 * @param tokenBytes the size of a cached token, in bytes
 * @param linkMegabits the bandwidth between two engines, in megabits per second; 0 if nothing may
 *     be copied
 */
public record EngineProfile(
    int slots, long cacheTokens, int eventTokens, double tokenBytes, double linkMegabits) {

  private static final double BITS_PER_BYTE = 8;

  /** The bits that one megabit per second transmits in a millisecond. */
  private static final double BITS_PER_MILLI_PER_MEGABIT = 1_000;

  /** Returns the time to copy a cached token from a nearby engine, in milliseconds. */
  public double copyMillisPerToken() {
    return tokenBytes * BITS_PER_BYTE / (linkMegabits * BITS_PER_MILLI_PER_MEGABIT);
  }
}
