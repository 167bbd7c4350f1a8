package org.gentianslip.core.published;

import java.util.Comparator;

/**
 * A point in the history of a publisher.
 *
 * <p>A publisher that was restored from an older copy gives out the numbers since then once more,
 * in a new era. Revisions are therefore ordered by era first. Immutable and thread-safe.
 *
 * @param era the number of times that the publisher was restored; 0 if it does not tell
 * @param number the number of the change within the era
 */
public record Revision(long era, long number) implements Comparable<Revision> {

  /** The revision before any change. */
  public static final Revision NONE = new Revision(0, 0);

  private static final Comparator<Revision> ORDER =
      Comparator.comparingLong(Revision::era).thenComparingLong(Revision::number);

  /** Returns a revision of an era. */
  public static Revision of(long era, long number) {
    return new Revision(era, number);
  }

  /** Returns whether this revision is later than another one. */
  public boolean isAfter(Revision other) {
    return compareTo(other) > 0;
  }

  /** Returns the later one of two revisions. */
  public static Revision latest(Revision a, Revision b) {
    return a.isAfter(b) ? a : b;
  }

  @Override
  public int compareTo(Revision other) {
    return ORDER.compare(this, other);
  }

  /** Returns the era and the number, as in {@code 2/48}. */
  @Override
  public String toString() {
    return era + "/" + number;
  }
}
