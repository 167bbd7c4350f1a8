package org.gentianslip.core.id;

/**
 * Identifies a plain service.
 *
 * <p>Callers name it in the path of a request. Immutable and safe for use by several threads.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /**
   * Checks the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is no valid id
   */
  public ServiceId {
    IdText.requireValid("ServiceId", value);
  }

  /** Returns the id with the given text. */
  public static ServiceId of(String value) {
    return new ServiceId(value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
