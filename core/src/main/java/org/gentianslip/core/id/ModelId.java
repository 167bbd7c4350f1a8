package org.gentianslip.core.id;

/**
 * Identifies a model.
 *
 * <p>Callers name it in the body of a request. Immutable and thread-safe.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record ModelId(String value) implements Comparable<ModelId> {

  /**
   * Validates the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  public ModelId {
    IdText.requireValid("ModelId", value);
  }

  /** Returns the id with the given text. */
  public static ModelId of(String value) {
    return new ModelId(value);
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  // Explicit, as the generated methods are linked at run time and slow until compiled.
  @Override
  public boolean equals(Object other) {
    return other instanceof ModelId id && value.equals(id.value);
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
