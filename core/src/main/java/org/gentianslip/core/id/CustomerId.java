package org.gentianslip.core.id;

/**
 * Identifies a customer.
 *
 * <p>A customer is the party on whose behalf callers send requests. Immutable and thread-safe.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

  /**
   * Validates the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  public CustomerId {
    IdText.requireValid("CustomerId", value);
  }

  /** Returns the id with the given text. */
  public static CustomerId of(String value) {
    return new CustomerId(value);
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  // Explicit, as the generated methods are linked at run time and slow until compiled.
  @Override
  public boolean equals(Object other) {
    return other instanceof CustomerId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
