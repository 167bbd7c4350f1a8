package org.gentianslip.load.call;

/**
 * The arrival times of the parts of an answer.
 *
 * <p>Immutable and thread-safe, provided that no one modifies the array.
 *
 * @param firstNanos the time of the first token or, if the answer was not streamed, of the whole
 *     answer, in nanoseconds of the monotonic clock
 * @param lastNanos the time of the end of the answer, in nanoseconds of the monotonic clock
 * @param gapNanos the times between successive tokens, in nanoseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record AnswerTiming(long firstNanos, long lastNanos, long[] gapNanos) {

  /** Returns the timing of an answer that arrived in one part at the given time. */
  static AnswerTiming ofSinglePart(long atNanos) {
    return new AnswerTiming(atNanos, atNanos, new long[0]);
  }
}
