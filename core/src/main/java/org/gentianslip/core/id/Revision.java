package org.gentianslip.core.id;

/**
 * The number of a published state of the settings; a later state has a greater number.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the number, at least 0; 0 stands for no published state
 */
public record Revision(long value) implements Comparable<Revision> {

  /** The revision before the first published one. */
  public static final Revision NONE = new Revision(0);

  /**
   * Validates the number.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  public Revision {
    if (value < 0) {
      throw new IllegalArgumentException("Revision must not be negative: " + value);
    }
  }

  /** Returns the revision with the given number. */
  public static Revision of(long value) {
    return new Revision(value);
  }

  /** Returns whether this revision is later than the other. */
  public boolean isAfter(Revision other) {
    return value > other.value;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
