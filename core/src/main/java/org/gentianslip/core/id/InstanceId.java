package org.gentianslip.core.id;

/**
 * Identifies an instance of the gateway.
 *
 * <p>The id stays the same when the instance is restarted; an {@link Incarnation} identifies one
 * run of its process. Immutable and thread-safe.
 *
 * @param value the text of the id, from 1 to {@value IdText#MAX_LENGTH} letters, digits, dots,
 *     hyphens, underscores and colons
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /**
   * Validates the text of the id.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  public InstanceId {
    IdText.requireValid("InstanceId", value);
  }

  /** Returns the id with the given text. */
  public static InstanceId of(String value) {
    return new InstanceId(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  // Explicit, as the generated methods are linked at run time and slow until compiled.
  @Override
  public boolean equals(Object other) {
    return other instanceof InstanceId id && value.equals(id.value);
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
