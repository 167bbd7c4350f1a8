package org.gentianslip.core.id;

/**
 * Identifies one run of an instance's process, from its start to its end.
 *
 * <p>Each process draws its incarnation at random when it starts, so successive processes at the
 * same address have different incarnations. Incarnations have no order. Immutable and thread-safe.
 *
 * @param value the random number
 */
public record Incarnation(long value) {

  /** Returns the incarnation with the given number. */
  public static Incarnation of(long value) {
    return new Incarnation(value);
  }

  /**
   * Parses the text that {@link #toString()} returns.
   *
   * @throws NumberFormatException if {@code text} is not an unsigned hexadecimal number of at most
   *     64 bits
   */
  public static Incarnation parse(String text) {
    return new Incarnation(Long.parseUnsignedLong(text, 16));
  }

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
