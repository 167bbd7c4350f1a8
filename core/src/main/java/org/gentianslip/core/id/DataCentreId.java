package org.gentianslip.core.id;

/**
 * Identifies a data centre.
 *
 * <p>Every data centre lies in exactly one region. Immutable and safe for use by several threads.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /**
   * Checks the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is no valid id
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

  @Override
  public String toString() {
    return value;
  }
}
