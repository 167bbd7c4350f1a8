package org.gentianslip.core.id;

/**
 * A version of the software of backend servers. Versions have no order; two are the same or not.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text of the version, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record SoftwareVersion(String value) {

  /**
   * Validates the text of the version.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid version
   */
  public SoftwareVersion {
    IdText.requireValid("SoftwareVersion", value);
  }

  /** Returns the version with the given text. */
  public static SoftwareVersion of(String value) {
    return new SoftwareVersion(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
