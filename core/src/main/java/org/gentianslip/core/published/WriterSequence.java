package org.gentianslip.core.published;

import java.util.Comparator;

/**
 * The position of a value among all values of its writer, as the writer itself counts them.
 *
 * <p>Unlike a {@link Revision}, it does not depend on the publisher. Immutable and thread-safe.
 *
 * @param start the start of the writer, or 0 if it never starts anew
 * @param number the number of the value since then
 */
public record WriterSequence(long start, long number) implements Comparable<WriterSequence> {

  private static final Comparator<WriterSequence> ORDER =
      Comparator.comparingLong(WriterSequence::start).thenComparingLong(WriterSequence::number);

  @Override
  public int compareTo(WriterSequence other) {
    return ORDER.compare(this, other);
  }
}
