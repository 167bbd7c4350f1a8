package org.gentianslip.core.id;

/**
 * Identifies a kind of work.
 *
 * <p>The kind determines the rank and the objectives of a request. Immutable and thread-safe.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record KindId(String value) implements Comparable<KindId> {

  /**
   * Validates the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  public KindId {
    IdText.requireValid("KindId", value);
  }

  /** Returns the id with the given text. */
  public static KindId of(String value) {
    return new KindId(value);
  }

  @Override
  public int compareTo(KindId other) {
    return value.compareTo(other.value);
  }

  // Explicit, as the generated methods are linked at run time and slow until compiled.
  @Override
  public boolean equals(Object other) {
    return other instanceof KindId id && value.equals(id.value);
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
