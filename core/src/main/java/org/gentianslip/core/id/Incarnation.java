package org.gentianslip.core.id;

/**
 * Identifies one life of an instance.
 *
 * <p>A process draws its incarnation at random when it starts, so two lives at one address differ.
 * Incarnations carry no order. Immutable and safe for use by several threads.
 *
 * @param value the random number
 */
public record Incarnation(long value) {

  /** Returns the incarnation with the given number. */
  public static Incarnation of(long value) {
    return new Incarnation(value);
  }

  /**
   * Parses the form that {@link #toString()} gives.
   *
   * @throws NumberFormatException if {@code text} is no unsigned hexadecimal number of 64 bits
   */
  public static Incarnation parse(String text) {
    return new Incarnation(Long.parseUnsignedLong(text, 16));
  }

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
