package org.gentianslip.bench.fleet;

/**
 * Holds the speed and the memory of a fake engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param slots the requests in a batch
 * @param maxWaiting the requests that may wait in the engine
 * @param stepNanos the fixed time of a step, in nanoseconds
 * @param sequenceNanos the time that each sequence of the batch adds to a step, in nanoseconds
 * @param prefillNanos the time that each token of a prompt adds to a step, in nanoseconds
 * @param chunkTokens the prompt tokens of a step
 * @param cacheTokens the tokens of prefixes that the cache holds
 */
public record EngineModel(
    int slots,
    int maxWaiting,
    long stepNanos,
    long sequenceNanos,
    long prefillNanos,
    int chunkTokens,
    int cacheTokens) {

  /** Returns the engine of both example fleets. */
  public static EngineModel standard() {
    return new EngineModel(16, 64, 14_000_000, 800_000, 30_000, 512, 60_000);
  }
}
