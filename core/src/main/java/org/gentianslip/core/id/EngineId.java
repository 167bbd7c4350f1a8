package org.gentianslip.core.id;

/**
 * Identifies a backend server.
 *
 * <p>A backend server is a model engine or an instance of a plain service. Immutable and
 * thread-safe.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record EngineId(String value) implements Comparable<EngineId> {

  /**
   * Validates the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  public EngineId {
    IdText.requireValid("EngineId", value);
  }

  /** Returns the id with the given text. */
  public static EngineId of(String value) {
    return new EngineId(value);
  }

  @Override
  public int compareTo(EngineId other) {
    return value.compareTo(other.value);
  }

  // Explicit, as the generated methods are linked at run time and slow until compiled.
  @Override
  public boolean equals(Object other) {
    return other instanceof EngineId id && value.equals(id.value);
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
