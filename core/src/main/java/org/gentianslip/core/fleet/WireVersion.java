package org.gentianslip.core.fleet;

/**
 * The version of what instances send each other, which each states in its record.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the version, at least 1
 * @see #CURRENT
 */
public record WireVersion(int number) {

  /** The version of builds that state none. */
  public static final WireVersion UNSTATED = new WireVersion(1);

  /** The version that this build speaks: it states its version and names receivers of forwards. */
  public static final WireVersion CURRENT = new WireVersion(2);

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if the number is less than 1
   */
  public WireVersion {
    if (number < 1) {
      throw new IllegalArgumentException("Wire version " + number + " is less than 1");
    }
  }

  @Override
  public String toString() {
    return Integer.toString(number);
  }
}
