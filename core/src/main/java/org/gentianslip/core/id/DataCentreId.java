package org.gentianslip.core.id;

/**
 * Identifies a data centre.
 *
 * <p>Every data centre belongs to exactly one region. Immutable and thread-safe.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /**
   * Validates the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  public DataCentreId {
    IdText.requireValid("DataCentreId", value);
  }

  /** Returns the id with the given text. */
  public static DataCentreId of(String value) {
    return new DataCentreId(value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  // Explicit, as the generated methods are linked at run time and slow until compiled.
  @Override
  public boolean equals(Object other) {
    return other instanceof DataCentreId id && value.equals(id.value);
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
