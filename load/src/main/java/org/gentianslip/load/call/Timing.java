package org.gentianslip.load.call;

/**
 * Times of an answer's parts.
 *
 * <p>Immutable as long as nobody changes the array; safe for use by several threads.
 *
 * @param firstNanos the monotonic time of the first token or, without a stream, of the whole answer
 * @param lastNanos the monotonic time of the answer's end
 * @param gapNanos the times between successive tokens, in nanoseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record Timing(long firstNanos, long lastNanos, long[] gapNanos) {

  /** Returns the timing of an answer that arrived in one part. */
  static Timing whole(long atNanos) {
    return new Timing(atNanos, atNanos, new long[0]);
  }
}
