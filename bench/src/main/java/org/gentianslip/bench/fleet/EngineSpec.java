package org.gentianslip.bench.fleet;

/**
 * The speed and the capacity of a simulated engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the maximum number of requests in a batch
 * @param maxWaiting the maximum number of requests that wait in the engine
 * @param baseStepNanos the fixed part of the duration of a step, in nanoseconds
 * @param stepNanosPerSequence the time that each sequence in the batch adds to a step, in
 *     nanoseconds
 * @param stepNanosPerPromptToken the time that each prefilled prompt token adds to a step, in
 *     nanoseconds
 * @param prefillChunkTokens the maximum number of prompt tokens prefilled in a step
 * @param cacheCapacityTokens the capacity of the prefix cache, in tokens
 */
public record EngineSpec(
    int slots,
    int maxWaiting,
    long baseStepNanos,
    long stepNanosPerSequence,
    long stepNanosPerPromptToken,
    int prefillChunkTokens,
    int cacheCapacityTokens) {

  /** Returns the specification of the engines of both example fleets. */
  public static EngineSpec standard() {
    return new EngineSpec(16, 64, 14_000_000, 800_000, 30_000, 512, 60_000);
  }
}
